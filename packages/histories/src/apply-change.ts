/**
 * Publishes configuration through the admin API of an entry.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Change} from '@hawthorncleat/schema';
import {request} from 'undici';
import type {Daemon} from './daemon.js';
import {adminToken} from './daemon-plans.js';

// A new entry has not found its witnesses yet and answers 503 until then.
const retryMs = 200;
const limitMs = 20_000;
const answerTimeoutMs = 10_000;

/** Publishes a change and returns its version. An entry that cannot publish yet is asked again. */
export const applyChange = async ({adminUrl, plan}: Daemon, change: Change, signal: AbortSignal): Promise<number> => {
	for (let waitedMs = 0; ; waitedMs += retryMs) {
		const {statusCode, body} = await request(`${adminUrl}/admin/config/apply`, {
			method: 'POST',
			headers: {authorization: `Bearer ${adminToken}`, 'content-type': 'application/json'},
			body: JSON.stringify(change),
			headersTimeout: answerTimeoutMs,
			signal,
		});
		const text = await body.text();
		if (statusCode === 200) {
			return (JSON.parse(text) as {version: number}).version;
		}

		if (statusCode !== 503 || waitedMs >= limitMs) {
			throw new Error(`${plan.name} did not publish: ${statusCode} ${text}`);
		}

		await delay(retryMs, undefined, {signal});
	}
};
