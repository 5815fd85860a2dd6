/**
 * Compares the rules that the Promela models define, such as "Rule `take`", with the references to them in the comments of the code,
 * such as "Rule `take` of models/lease.pml".
 */

/** Texts of files by their path relative to the root of the repository. */
export type Texts = ReadonlyMap<string, string>;

type RuleReference = {readonly rule: string; readonly model: string; readonly file: string};

const ruleListPattern = /\b[Rr]ules? ((?:`[\w-]+`(?:, | and )?)+)/g;
const ruleOfModelPattern = /\b[Rr]ules? ((?:`[\w-]+`(?:, | and )?)+) of (models\/[\w-]+\.pml)/g;

/** Joins the lines of comments, because a list of rule names may continue on the next line. */
const joinComment = (text: string): string => text.replaceAll(/\n\s*(?:\*|\/\/) ?/g, ' ');

const parseRuleNames = (list: string): string[] => [...list.matchAll(/`([\w-]+)`/g)].map(match => match[1]!);

const findRulesOfModel = (model: string): string[] =>
	[...joinComment(model).matchAll(ruleListPattern)].flatMap(match => parseRuleNames(match[1]!));

const findCodeFilesOfModel = (model: string): string[] =>
	[...model.matchAll(/^\/\* code: (\S+) \*\/$/gm)].map(match => match[1]!);

const findRuleReferences = (file: string, text: string): RuleReference[] =>
	[...joinComment(text).matchAll(ruleOfModelPattern)]
		.flatMap(match => parseRuleNames(match[1]!).map(rule => ({rule, model: match[2]!, file})));

/** Finds the problems of one model: rules without a reference, references without a rule, and files that its head lists wrongly. */
const checkModel = (model: string, text: string, references: readonly RuleReference[]): string[] => {
	const rules = new Set(findRulesOfModel(text));
	const files = findCodeFilesOfModel(text);
	const referencesToModel = references.filter(reference => reference.model === model);
	const referencesInListedFiles = referencesToModel.filter(reference => files.includes(reference.file));
	return [
		...files.length === 0 ? [`${model} names no code file`] : [],
		...[...rules]
			.filter(rule => !referencesInListedFiles.some(reference => reference.rule === rule))
			.map(rule => `${model}: rule ${rule} is named in no code file of its head`),
		...files
			.filter(file => !referencesToModel.some(reference => reference.file === file))
			.map(file => `${model}: ${file} names none of its rules`),
		...referencesToModel
			.filter(({rule}) => !rules.has(rule))
			.map(({rule, file}) => `${file}: rule ${rule} is not in ${model}`),
		...referencesToModel
			.filter(({file}) => !files.includes(file))
			.map(({file}) => `${model}: its head does not name ${file}`),
	];
};

/** Finds rules, files and models that only the models or only the code name. */
export const findRuleProblems = (models: Texts, sources: Texts): string[] => {
	const references = [...sources].flatMap(([file, text]) => findRuleReferences(file, text));
	return [
		...[...models].flatMap(([model, text]) => checkModel(model, text, references)),
		...references
			.filter(({model}) => !models.has(model))
			.map(({file, model}) => `${file}: there is no ${model}`),
	];
};
