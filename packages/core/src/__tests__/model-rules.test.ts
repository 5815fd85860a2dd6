import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {findRuleProblems, type Texts} from './model-rules.js';

const root = fileURLToPath(new URL('../../../..', import.meta.url));

const readTexts = async (files: readonly string[]): Promise<Texts> =>
	new Map(await Promise.all(files.map(async file => [file, await readFile(path.join(root, file), 'utf8')] as const)));

const listModels = async (): Promise<string[]> => {
	const files = await readdir(path.join(root, 'models'));
	return files.filter(file => file.endsWith('.pml')).map(file => `models/${file}`);
};

const listSources = async (): Promise<string[]> => {
	const packages = await readdir(path.join(root, 'packages'));
	const found = await Promise.all(packages.map(async name => {
		const files = await readdir(path.join(root, 'packages', name, 'src'), {recursive: true}).catch(() => []);
		return files.filter(file => file.endsWith('.ts') && !file.includes('__tests__')).map(file => `packages/${name}/src/${file}`);
	}));
	return found.flat();
};

describe('rules of the models', () => {
	it('are named in the code that implements them; guards against a change of a rule in the code or in the model alone', async () => {
		const [models, sources] = await Promise.all([readTexts(await listModels()), readTexts(await listSources())]);
		assert.ok(models.size >= 5 && sources.size > 50, 'the files were not found');
		assert.equal(findRuleProblems(models, sources), []);
	});

	describe('the check itself', () => {
		const model = '/* code: a.ts */\n/* Rules `one` and\n * `two`. */\n/* Rule `three`: x */';
		const source = '/**\n * Rules `one`, `two` and `three` of\n * models/m.pml\n */';
		const check = (modelText: string, sourceText: string, file = 'a.ts'): string[] =>
			findRuleProblems(new Map([['models/m.pml', modelText]]), new Map([[file, sourceText]]));

		it('accepts rules that both sides name', () => {
			assert.equal(check(model, source), []);
		});

		it('finds a rule that only one side names', () => {
			assert.equal(check(model, source.replace('`one`, ', '')), ['models/m.pml: rule one is named in no code file of its head']);
			assert.equal(check(model.replace('`three`', 'three'), source), ['a.ts: rule three is not in models/m.pml']);
		});

		it('finds a code file that the model does not name and a model that does not exist', () => {
			assert.ok(check(model, source, 'b.ts').includes('models/m.pml: its head does not name b.ts'));
			assert.ok(check(model, source.replace('m.pml', 'n.pml')).includes('a.ts: there is no models/n.pml'));
		});
	});
});
