/**
 * `get`, `status` and `drain`: commands that show what an entry answers.
 */
import {createNameIndex} from '@hawthorncleat/core';
import type {ConfigObject, ObjectKind, Snapshot} from '@hawthorncleat/schema';
import {stringify} from 'yaml';
import type {AdminClient} from '../admin-client.js';
import type {CommandContext} from '../context.js';
import {createCommandError, exitCodes, type ExitCode} from '../exit-codes.js';

/** Kinds of configuration objects, in the order of help texts. */
export const objectKinds: readonly ObjectKind[]
	= ['client-account', 'key', 'place', 'model-version', 'service', 'route'];

/** What to get: everything, the objects of a kind, or one object by a name in any scheme. */
export type GetArguments = {readonly kind?: ObjectKind; readonly name?: string; readonly json?: boolean};

const select = (snapshot: Snapshot, {kind, name}: GetArguments): Snapshot | ConfigObject[] | ConfigObject => {
	if (kind === undefined) {
		return snapshot;
	}

	if (name === undefined) {
		return snapshot.objects.filter(object => object.kind === kind);
	}

	const found = createNameIndex(snapshot.objects).resolve(kind, name);
	if (!found) {
		throw createCommandError(`no ${kind} has the name ${name}`, exitCodes.failed);
	}

	return found;
};

const printValue = (context: CommandContext, value: unknown, json = false): void => {
	context.print(json ? JSON.stringify(value, undefined, '\t') : stringify(value).trimEnd());
};

/** Prints configuration objects in force. */
export const runGet = async (context: CommandContext, admin: AdminClient, args: GetArguments): Promise<ExitCode> => {
	printValue(context, select(await admin.getConfig(), args), args.json);
	return exitCodes.done;
};

/** Prints the status of the entry. */
export const runStatus = async (context: CommandContext, admin: AdminClient, json?: boolean): Promise<ExitCode> => {
	printValue(context, await admin.getStatus(), json);
	return exitCodes.done;
};

/** Starts a graceful shutdown of the entry. */
export const runDrain = async (context: CommandContext, admin: AdminClient): Promise<ExitCode> => {
	await admin.drain();
	context.print('the entry is draining');
	return exitCodes.done;
};
