/**
 * Invariants I4 and I5: a request runs only for the account whose key came with it, and no endpoint sees a key or a part
 * of one.
 */
import {describe, it} from '@hawthorncleat/test-kit';
import {Agent, request} from 'undici';
import * as assert from 'uvu/assert';
import {
	createCallerKey, issueKeys, modelRoute, type CallerKey,
} from '../caller-keys.js';
import {promptTag} from '../caller.js';
import {listReceived, listWork} from '../endpoint-requests.js';
import {fleetAccounts, requestIdHeader} from '../fleet-config.js';
import {withLinkedFleet} from '../fleet-links.js';
import type {Fleet} from '../fleet.js';
import {createSeededRandom, type SeededRandom} from '../random.js';
import {findForeignAccounts, findKeyLeaks} from '../rules/key-rules.js';

const seeds = [61, 62];
const callCount = 240;
const parallelCallers = 6;
/** Every fifth answer stops halfway, so that some requests are sent to an endpoint a second time. */
const faultInterval = 5;

type Call = {readonly id: string; readonly key: CallerKey; readonly other: CallerKey};
type Content = {readonly method: 'GET' | 'POST'; readonly path: string; readonly headers?: Record<string, string>; readonly body?: string};

const completion = (id: string, text: string): string =>
	JSON.stringify(Object.fromEntries([['model', modelRoute], ['prompt', `${promptTag(id)} ${text}`], ['max_tokens', 6]]));

/** Calls as callers make them, and such as carry the key or a foreign account where it could travel on. */
const contents: ReadonlyArray<(call: Call) => Content> = [
	({id}) => ({method: 'POST', path: '/v1/completions', body: completion(id, 'plan')}),
	({id}) => ({method: 'GET', path: `/stock/${id}`}),
	({id}) => ({
		method: 'POST', path: '/orders', headers: {'idempotency-key': id}, body: '{"sku":7}',
	}),
	({id, other}) => ({method: 'GET', path: `/stock/${id}`, headers: {'x-client-account': other.account}}),
	({id, key}) => ({method: 'GET', path: `/stock/${id}`, headers: {'x-api-key': key.secret, cookie: `key=${key.secret}`}}),
	({id, key}) => ({method: 'GET', path: `/stock/${id}`, headers: {accept: `text/${key.secret}`, 'accept-language': key.secret}}),
	({id, key}) => ({method: 'GET', path: `/stock/${id}`, headers: {'proxy-authorization': `Bearer ${key.secret}`, traceparent: key.secret}}),
	({id, key}) => ({method: 'GET', path: `/stock/${id}?page=${key.secret}`}),
	({id, key}) => ({method: 'GET', path: `/stock/${id}/${encodeURIComponent(key.secret)}`}),
	({id, key}) => ({method: 'POST', path: '/v1/completions', body: completion(id, key.secret)}),
	({id, key}) => ({
		method: 'POST', path: '/orders', headers: {'idempotency-key': key.secret}, body: '{"sku":8}',
	}),
	({id, key}) => ({
		method: 'POST', path: '/orders', headers: {'idempotency-key': id}, body: JSON.stringify({note: key.secret}),
	}),
];

/** One caller that shares a connection between the keys of all accounts. Returns how many calls were answered. */
const runCaller = async (fleet: Fleet, entry: string, calls: readonly Call[], random: SeededRandom): Promise<number> => {
	const dispatcher = new Agent({connections: 1, pipelining: 1});
	let answered = 0;
	for (const call of calls) {
		const {method, path, headers, body} = random.pick(contents)(call);
		const {statusCode, body: answer} = await request(fleet.callerUrl(entry) + path, {
			dispatcher,
			method,
			body,
			headers: {
				authorization: `Bearer ${call.key.secret}`, 'content-type': 'application/json', [requestIdHeader]: call.id, ...headers,
			},
		});
		await answer.dump();
		answered += statusCode === 200 ? 1 : 0;
	}

	await dispatcher.close();
	return answered;
};

const createCalls = (random: SeededRandom, keys: readonly CallerKey[], caller: number): Call[] => Array.from(
	{length: callCount / parallelCallers},
	(_, number) => {
		const key = random.pick(keys);
		return {id: `c${caller}-${number}`, key, other: random.pick(keys.filter(({account}) => account !== key.account))};
	},
);

const runSeed = async (seed: number): Promise<void> => {
	const random = createSeededRandom(seed);
	const keys = fleetAccounts.flatMap(account => [1, 2].map(number => createCallerKey(random, `${account}-${number}`, account)));
	const engine = {stepMs: 1, chooseFault: (answer: number) => answer % faultInterval === 0 ? 'stop-halfway' as const : undefined};
	await withLinkedFleet({
		seed,
		entries: 2,
		engines: ['engine-1', 'engine-2'].map(name => ({name, dataCentre: 'dc-1', options: engine})),
		services: 2,
	}, async fleet => {
		await fleet.waitForVersion(await fleet.apply(issueKeys(keys)));
		const calls = Array.from({length: parallelCallers}, (_, caller) => createCalls(random, keys, caller));
		const answered = await Promise.all(calls.map(async (list, index) =>
			runCaller(fleet, fleet.entryNames[index % 2]!, list, random.fork())));
		const accountOfCall = new Map(calls.flat().map(({id, key}) => [id, key.account]));
		assert.equal(findForeignAccounts(listWork(fleet), accountOfCall), []);
		assert.equal(findKeyLeaks(listReceived(fleet), keys.map(({secret}) => secret)), []);
		const total = answered.reduce((sum, count) => sum + count, 0);
		assert.ok(total > callCount / 3, `only ${total} of ${callCount} calls were answered`);
		const accounts = new Set(listWork(fleet).map(({account}) => account));
		assert.is(accounts.size, fleetAccounts.length, 'an account had no call that reached an endpoint');
	});
};

describe('a request runs for the account of its key and no endpoint sees the key', () => {
	for (const seed of seeds) {
		it(`seed ${seed}: keys of all accounts on shared connections; guards against a mixed up account and a forwarded key`, async () => {
			await runSeed(seed);
		});
	}
});
