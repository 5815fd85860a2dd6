/**
 * `validate`, `apply` and `diff`: the commands that take a change file.
 */
import {checkChange, createConfigView, type ConfigFinding} from '@hawthorncleat/core';
import type {Change, Snapshot} from '@hawthorncleat/schema';
import {parseSnapshot, type AdminClient, type ChangeAnswer} from '../admin-client.js';
import {formatFileFinding, parseChangeFile, type ChangeFile} from '../change-file.js';
import type {CommandContext} from '../context.js';
import {describeDiff} from '../describe-diff.js';
import {createCommandError, exitCodes, type ExitCode} from '../exit-codes.js';

/** Arguments of the commands that take a change file. */
export type ChangeArguments = {
	readonly file: string;
	/** File with the snapshot to compare with, instead of the one that the entry has in force. */
	readonly base?: string;
	/** Connects to the entry; not called when a base file is given. */
	readonly connect: () => AdminClient;
};

type ParsedFile = Extract<ChangeFile, {ok: true}>;

const readFile = async (context: CommandContext, path: string): Promise<string> => {
	try {
		return await context.readText(path);
	} catch (error) {
		throw createCommandError(`cannot read ${path}: ${(error as Error).message}`, exitCodes.wrongUsage);
	}
};

const readChange = async (context: CommandContext, path: string): Promise<ParsedFile | undefined> => {
	const file = parseChangeFile(path, await readFile(context, path));
	if (file.ok) {
		return file;
	}

	for (const finding of file.findings) {
		context.printError(formatFileFinding(finding));
	}

	return undefined;
};

const readBase = async (context: CommandContext, path: string): Promise<Snapshot> => {
	const file = parseChangeFile(path, await readFile(context, path));
	if (file.ok) {
		return parseSnapshot(file.content, path);
	}

	throw createCommandError(file.findings.map(finding => formatFileFinding(finding)).join('\n'), exitCodes.failed);
};

const printFindings = (context: CommandContext, file: ParsedFile, findings: readonly ConfigFinding[]): ExitCode => {
	for (const finding of findings) {
		context.printError(formatFileFinding(file.locate(finding)));
	}

	context.printError(`${findings.length} finding${findings.length === 1 ? '' : 's'}, nothing changed`);
	return exitCodes.findings;
};

/** Prints a conflict with the objects that both changes touch. */
export const printConflict = (
	context: CommandContext,
	{conflicts, version}: Extract<ChangeAnswer, {kind: 'conflict'}>,
): ExitCode => {
	context.printError(`version ${version} has changed the same objects, nothing changed:`);
	for (const {kind, name} of conflicts) {
		context.printError(`  ${kind} ${name}`);
	}

	return exitCodes.conflict;
};

/** Prints the result of a publication. */
export const printPublished = (
	context: CommandContext,
	{version, confirmed}: Extract<ChangeAnswer, {kind: 'done'}>,
): ExitCode => {
	if (confirmed) {
		context.print(`version ${version} is accepted`);
		return exitCodes.done;
	}

	context.printError(`version ${version} is published but not yet confirmed: run the command again, or check with status`);
	return exitCodes.failed;
};

/** A base from a file may have been edited, so the whole result is checked. */
const validateLocally = (base: Snapshot, change: unknown): ChangeAnswer => {
	const checked = checkChange(createConfigView(base), change, 'whole');
	return checked.ok
		? {kind: 'done', version: checked.delta.version, confirmed: true}
		: {kind: 'findings', findings: checked.findings};
};

/** Checks a change without publishing it. */
export const runValidate = async (context: CommandContext, args: ChangeArguments): Promise<ExitCode> => {
	const file = await readChange(context, args.file);
	if (!file) {
		return exitCodes.findings;
	}

	const answer = args.base === undefined
		? await args.connect().validate(file.content)
		: validateLocally(await readBase(context, args.base), file.content);
	if (answer.kind === 'findings') {
		return printFindings(context, file, answer.findings);
	}

	if (answer.kind === 'conflict') {
		return printConflict(context, answer);
	}

	context.print(`${args.file} is valid`);
	return exitCodes.done;
};

/** Publishes a change. */
export const runApply = async (context: CommandContext, args: ChangeArguments): Promise<ExitCode> => {
	const file = await readChange(context, args.file);
	if (!file) {
		return exitCodes.findings;
	}

	const answer = await args.connect().apply(file.content);
	if (answer.kind === 'findings') {
		return printFindings(context, file, answer.findings);
	}

	return answer.kind === 'conflict' ? printConflict(context, answer) : printPublished(context, answer);
};

/** Shows what a change would do. */
export const runDiff = async (context: CommandContext, args: ChangeArguments): Promise<ExitCode> => {
	const file = await readChange(context, args.file);
	if (!file) {
		return exitCodes.findings;
	}

	const base = args.base === undefined ? await args.connect().getConfig() : await readBase(context, args.base);
	const checked = checkChange(createConfigView(base), file.content, 'whole');
	if (!checked.ok) {
		return printFindings(context, file, checked.findings);
	}

	const lines = describeDiff(base, checked.next.snapshot);
	for (const line of lines.length > 0 ? lines : [`no difference from version ${base.version}`]) {
		context.print(line);
	}

	return exitCodes.done;
};
