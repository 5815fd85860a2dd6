/**
 * `key issue` and `key withdraw`. The entry and the store only ever see the hash of a key.
 */
import {hashKey, objectKey} from '@hawthorncleat/core';
import type {Key, Snapshot} from '@hawthorncleat/schema';
import {basedOn, type AdminClient, type ChangeAnswer} from '../admin-client.js';
import type {CommandContext} from '../context.js';
import {createCommandError, exitCodes, type ExitCode} from '../exit-codes.js';
import {printConflict, printPublished} from './change.js';

/** A withdrawal is urgent, so one that lost against another change of the same key is tried again. */
const withdrawAttempts = 3;

const findKey = ({objects}: Snapshot, name: string): Key | undefined =>
	objects.find((object): object is Key => objectKey(object) === objectKey({kind: 'key', name}));

const printAnswer = (context: CommandContext, answer: ChangeAnswer): ExitCode => {
	if (answer.kind === 'done') {
		return printPublished(context, answer);
	}

	if (answer.kind === 'conflict') {
		return printConflict(context, answer);
	}

	for (const {kind, name, field, value, problem} of answer.findings) {
		context.printError(`${kind} ${name} ${field} ${JSON.stringify(value) ?? ''}: ${problem}`);
	}

	return exitCodes.findings;
};

/** Creates a key and prints it, which is the only time that it can be read. */
export const runKeyIssue = async (
	context: CommandContext,
	admin: AdminClient,
	{name, account}: {readonly name: string; readonly account: string},
): Promise<ExitCode> => {
	const snapshot = await admin.getConfig();
	if (findKey(snapshot, name)) {
		throw createCommandError(`key ${name} already exists; withdraw it and use another name`, exitCodes.failed);
	}

	const secret = context.makeKey();
	const key: Key = {
		kind: 'key', name, account, hash: hashKey(secret), state: 'active',
	};
	const answer = await admin.apply(basedOn(snapshot, {put: [key]}));
	if (answer.kind === 'done') {
		context.print(secret);
		context.printError(`key ${name} of account ${account}; it is not shown again`);
	}

	return printAnswer({...context, print: context.printError}, answer);
};

/** Withdraws a key; the object stays, so that the same hash is never issued again. */
export const runKeyWithdraw = async (context: CommandContext, admin: AdminClient, name: string): Promise<ExitCode> => {
	for (let attempt = 1; ; attempt += 1) {
		const snapshot = await admin.getConfig();
		const key = findKey(snapshot, name);
		if (!key) {
			throw createCommandError(`there is no key ${name}`, exitCodes.failed);
		}

		const answer = await admin.apply(basedOn(snapshot, {put: [{...key, state: 'withdrawn'}]}));
		if (answer.kind !== 'conflict' || attempt === withdrawAttempts) {
			return printAnswer(context, answer);
		}
	}
};
