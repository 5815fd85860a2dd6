/**
 * Calls to the admin API of an entry.
 */
import type {Change} from '@hawthorncleat/schema';
import {request} from 'undici';
import {adminToken} from './daemon-plans.js';
import type {Daemon} from './daemon.js';

const answerTimeoutMs = 10_000;

/** The entry that is called. */
type Admin = Pick<Daemon, 'adminUrl'>;

/** The fields of `GET /admin/status` that the tests read. */
export type EntryStatus = {
	readonly configVersion: number;
	readonly fresh: boolean;
	readonly entries: readonly string[];
	readonly endpoints: ReadonlyArray<{readonly id: string; readonly connected: boolean}>;
};

/** Answer to a change, with the time at which it came. */
export type ApplyAnswer = {
	readonly status: number;
	readonly version?: number;
	readonly confirmed?: boolean;
	readonly conflicts?: ReadonlyArray<{readonly kind: string; readonly name: string}>;
	readonly atMs: number;
	readonly text: string;
};

const send = async ({adminUrl}: Admin, method: 'GET' | 'POST', path: string, content?: unknown) => {
	const {statusCode, body} = await request(new URL(path, adminUrl), {
		method,
		headers: {authorization: `Bearer ${adminToken}`, 'content-type': 'application/json'},
		body: content === undefined ? undefined : JSON.stringify(content),
		headersTimeout: answerTimeoutMs,
		bodyTimeout: answerTimeoutMs,
	});
	return {status: statusCode, text: await body.text()};
};

/** Applies a change once, whatever the answer is. */
export const tryChange = async (admin: Admin, change: Change): Promise<ApplyAnswer> => {
	const {status, text} = await send(admin, 'POST', '/admin/config/apply', change);
	const atMs = performance.now();
	const body = JSON.parse(text) as Pick<ApplyAnswer, 'confirmed' | 'conflicts' | 'version'>;
	return {
		...body, status, atMs, text,
	};
};

/** Reads the status. */
export const readStatus = async (admin: Admin): Promise<EntryStatus> => {
	const {text} = await send(admin, 'GET', '/admin/status');
	return JSON.parse(text) as EntryStatus;
};

/** Starts a drain. */
export const startDrain = async (admin: Admin): Promise<void> => {
	await send(admin, 'POST', '/admin/drain', {});
};
