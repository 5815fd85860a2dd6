/**
 * Compares the rules that the Promela models name with those that the code names.
 */

/** Texts by path from the root of the repository. */
export type Texts = ReadonlyMap<string, string>;

type Naming = {readonly rule: string; readonly model: string; readonly file: string};

const ruleList = /\b[Rr]ules? ((?:`[\w-]+`(?:, | and )?)+)/g;
const ruleOfModel = /\b[Rr]ules? ((?:`[\w-]+`(?:, | and )?)+) of (models\/[\w-]+\.pml)/g;

/** Joins the lines of a comment, so that a name may stand on the next line. */
const joinComment = (text: string): string => text.replaceAll(/\n\s*(?:\*|\/\/) ?/g, ' ');

const namesIn = (list: string): string[] => [...list.matchAll(/`([\w-]+)`/g)].map(match => match[1]!);

const rulesOf = (model: string): string[] =>
	[...joinComment(model).matchAll(ruleList)].flatMap(match => namesIn(match[1]!));

const codeFilesOf = (model: string): string[] =>
	[...model.matchAll(/^\/\* code: (\S+) \*\/$/gm)].map(match => match[1]!);

const namingsIn = (file: string, text: string): Naming[] =>
	[...joinComment(text).matchAll(ruleOfModel)]
		.flatMap(match => namesIn(match[1]!).map(rule => ({rule, model: match[2]!, file})));

/** Problems of one model: rules or files without their counterpart. */
const checkModel = (model: string, text: string, namings: readonly Naming[]): string[] => {
	const rules = new Set(rulesOf(text));
	const files = codeFilesOf(text);
	const own = namings.filter(naming => naming.model === model);
	const inListedFiles = own.filter(naming => files.includes(naming.file));
	return [
		...files.length === 0 ? [`${model} names no code file`] : [],
		...[...rules]
			.filter(rule => !inListedFiles.some(naming => naming.rule === rule))
			.map(rule => `${model}: rule ${rule} is named in no code file of its head`),
		...files
			.filter(file => !own.some(naming => naming.file === file))
			.map(file => `${model}: ${file} names none of its rules`),
		...own
			.filter(({rule}) => !rules.has(rule))
			.map(({rule, file}) => `${file}: rule ${rule} is not in ${model}`),
		...own
			.filter(({file}) => !files.includes(file))
			.map(({file}) => `${model}: its head does not name ${file}`),
	];
};

/** Finds rules that are named on one side only. */
export const findRuleProblems = (models: Texts, sources: Texts): string[] => {
	const namings = [...sources].flatMap(([file, text]) => namingsIn(file, text));
	return [
		...[...models].flatMap(([model, text]) => checkModel(model, text, namings)),
		...namings
			.filter(({model}) => !models.has(model))
			.map(({file, model}) => `${file}: there is no ${model}`),
	];
};
