/**
 * Generates the TypeScript types and the validators of `packages/schema` from its JSON Schema files. With `--check` it
 * writes nothing and fails when the committed code differs from what it would write.
 */
import {readFile, readdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Ajv, type AnySchemaObject} from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import {compile, type JSONSchema} from 'json-schema-to-typescript';

const schemaFolder = 'packages/schema/schemas';
const outputFolder = 'packages/schema/src/generated';
const banner = '/* Generated from the JSON Schema by admin/generate-schema.ts. */';

type SchemaFile = {readonly name: string; readonly schema: AnySchemaObject};

const readSchemas = async (): Promise<SchemaFile[]> => {
	const fileNames = await readdir(schemaFolder);
	return Promise.all(fileNames.toSorted().map(async fileName => ({
		name: fileName.replace('.schema.json', ''),
		schema: JSON.parse(await readFile(path.join(schemaFolder, fileName), 'utf8')) as AnySchemaObject,
	})));
};

const generateTypes = async ({schema}: SchemaFile): Promise<string> =>
	compile(structuredClone(schema), schema.title as string, {
		additionalProperties: false,
		bannerComment: banner,
		unreachableDefinitions: true,
		style: {useTabs: true, singleQuote: true},
	});

const generateSchemaModule = ({name, schema}: SchemaFile): string =>
	`${banner}\nexport const ${name}Schema = ${JSON.stringify(schema, undefined, '\t')} as const;\n`;

const definitionNames = ({schema}: SchemaFile): string[] => Object.keys(schema.$defs as Record<string, unknown>);

const generateValidators = (files: readonly SchemaFile[]): string => {
	const ajv = new Ajv({
		allErrors: true,
		verbose: true,
		allowUnionTypes: true,
		strictRequired: false,
		code: {source: true, esm: true},
	});
	const references: Record<string, string> = {};
	for (const file of files) {
		ajv.addSchema(file.schema);
		for (const name of definitionNames(file)) {
			references[`validate${name}`] = `${file.name}#/$defs/${name}`;
		}
	}

	const code = (standalone as unknown as {default: (ajv: Ajv, references_: Record<string, string>) => string}).default(ajv, references);
	return `// @ts-nocheck\n${banner}\n${code}\n`;
};

const generateAll = async (): Promise<Map<string, string>> => {
	const files = await readSchemas();
	const outputs = new Map<string, string>();
	for (const file of files) {
		outputs.set(`${file.name}.ts`, await generateTypes(file));
		outputs.set(`${file.name}-schema.ts`, generateSchemaModule(file));
	}

	outputs.set('validators.ts', generateValidators(files));
	return outputs;
};

const findStale = async (outputs: ReadonlyMap<string, string>): Promise<string[]> => {
	const stale: string[] = [];
	for (const [fileName, text] of outputs) {
		const current = await readFile(path.join(outputFolder, fileName), 'utf8').catch(() => '');
		if (current !== text) {
			stale.push(fileName);
		}
	}

	return stale;
};

const outputs = await generateAll();
if (process.argv.includes('--check')) {
	const stale = await findStale(outputs);
	if (stale.length > 0) {
		console.error(`generated code is out of date, run npm run generate: ${stale.join(', ')}`);
		process.exitCode = 1;
	}
} else {
	for (const [fileName, text] of outputs) {
		await writeFile(path.join(outputFolder, fileName), text);
	}
}
