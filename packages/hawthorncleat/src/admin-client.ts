/**
 * Client of the admin API of an entry.
 */
import type {ConfigFinding} from '@hawthorncleat/core';
import {
	validate, validators, type Change, type ObjectId, type Snapshot, type Validator,
} from '@hawthorncleat/schema';
import {request} from 'undici';
import {createCommandError, exitCodes} from './exit-codes.js';

/** Where the admin API is and what opens it. */
export type AdminAddress = {readonly url: string; readonly token: string};

/** Answer to a change. */
export type ChangeAnswer
	= | {readonly kind: 'done'; readonly version: number; readonly confirmed: boolean}
		| {readonly kind: 'findings'; readonly findings: readonly ConfigFinding[]}
		| {readonly kind: 'conflict'; readonly conflicts: readonly ObjectId[]; readonly version: number};

/** The admin API. Methods reject with a command error. */
export type AdminClient = {
	getConfig(): Promise<Snapshot>;
	validate(change: unknown): Promise<ChangeAnswer>;
	apply(change: unknown): Promise<ChangeAnswer>;
	getStatus(): Promise<unknown>;
	drain(): Promise<unknown>;
};

/** A publication waits for the store and the witnesses, so this is longer than their own limits together. */
const answerTimeoutMs = 30_000;

type Answer = {readonly status: number; readonly body: unknown};

const parseBody = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
};

const describeAnswer = ({status, body}: Answer): string => {
	const {error} = (body ?? {}) as {error?: {message?: string}};
	return `the entry answered ${status}: ${error?.message ?? (typeof body === 'string' ? body : JSON.stringify(body))}`;
};

const send = async ({url, token}: AdminAddress, method: 'GET' | 'POST', path: string, content?: unknown): Promise<Answer> => {
	const headers = {authorization: `Bearer ${token}`, 'content-type': 'application/json'};
	try {
		const {statusCode, body} = await request(new URL(path, url), {
			method,
			headers,
			body: method === 'POST' ? JSON.stringify(content ?? {}) : undefined,
			headersTimeout: answerTimeoutMs,
			bodyTimeout: answerTimeoutMs,
		});
		return {status: statusCode, body: parseBody(await body.text())};
	} catch (error) {
		const note = path === '/admin/config/apply' ? '; the change may or may not be in force, compare with diff' : '';
		const message = `no answer from ${url}: ${(error as Error).message}${note}`;
		throw createCommandError(message, exitCodes.unreachable);
	}
};

const expectOk = (answer: Answer): unknown => {
	if (answer.status >= 200 && answer.status < 300) {
		return answer.body;
	}

	throw createCommandError(describeAnswer(answer), exitCodes.failed);
};

const readChangeAnswer = (answer: Answer): ChangeAnswer => {
	const body = (answer.body ?? {}) as Record<string, unknown>;
	if (answer.status === 422 && Array.isArray(body.findings)) {
		return {kind: 'findings', findings: body.findings as ConfigFinding[]};
	}

	if (answer.status === 409 && Array.isArray(body.conflicts)) {
		return {kind: 'conflict', conflicts: body.conflicts as ObjectId[], version: Number(body.version)};
	}

	expectOk(answer);
	return {kind: 'done', version: Number(body.version), confirmed: body.confirmed !== false};
};

/** Checks that a value is a snapshot. */
export const parseSnapshot = (value: unknown, source: string): Snapshot => {
	const checked = validate<Snapshot>(validators.validateSnapshot as Validator, value);
	if (checked.ok) {
		return checked.value;
	}

	const [finding] = checked.findings;
	throw createCommandError(
		`${source} is no configuration snapshot: ${finding?.place ?? ''} ${finding?.problem ?? ''}`,
		exitCodes.failed,
	);
};

/** Creates a client. */
export const createAdminClient = (address: AdminAddress): AdminClient => ({
	getConfig: async () => parseSnapshot(expectOk(await send(address, 'GET', '/admin/config')), address.url),
	validate: async change => readChangeAnswer(await send(address, 'POST', '/admin/config/validate', change)),
	apply: async change => readChangeAnswer(await send(address, 'POST', '/admin/config/apply', change)),
	getStatus: async () => expectOk(await send(address, 'GET', '/admin/status')),
	drain: async () => expectOk(await send(address, 'POST', '/admin/drain')),
});

/** A change with its base, so that a racing change of the same objects is found. */
export const basedOn = ({version}: Snapshot, change: Change): Change => ({...change, baseVersion: version});
