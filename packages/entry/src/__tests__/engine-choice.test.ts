import {setTimeout as sleep} from 'node:timers/promises';
import {createRequestError, namePrefixes} from '@hawthorncleat/core';
import type {LoadReport} from '@hawthorncleat/schema';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EngineChoice, type EngineRequest} from '../engine-choice.js';
import type {Endpoint} from '../endpoint.js';
import {
	addAgent, adminToken, complete, describeError, sendEnd, until, withEntry,
} from './fixtures.js';

const createEndpoint = (hostId: string, dataCentre = 'dc-1', runningSuspects = 0): Endpoint => ({
	id: hostId, host: {hostId, dataCentre, serves: 'planner'}, runningSuspects,
}) as unknown as Endpoint;

const createReport = (changes: Partial<LoadReport> = {}): LoadReport => ({
	sequence: 1, role: 'mixed', running: 0, waiting: 0, waitingTokens: 0, freeTokens: 100_000, prefixes: [], leaving: false,
	prefillTokensPerSecond: 10_000, stepMs: 0, stepMsPerRequest: 1, maxRunning: 16, ...changes,
});

const createRequest = (changes: Partial<EngineRequest> = {}): EngineRequest => ({
	prompt: 'x'.repeat(4000), maxTokens: 10, expectedOutput: 10, isSuspect: false, firstTokenMs: 420, elapsedMs: 0, mayRefuse: true, maySplit: true, ...changes,
});

const createChoice = (liveEntries = 1) => {
	const clock = createManualClock(1000);
	const choice = new EngineChoice({
		clock, random: () => 0.99, dataCentre: 'dc-1', liveEntries: () => liveEntries,
	});
	return {clock, choice};
};

/** Waits until the report has reached the entry. */
const untilReported = async (adminPort: number, waitingTokens: number): Promise<void> => {
	for (let tries = 0; tries < 200; tries++) {
		const response = await fetch(`http://127.0.0.1:${adminPort}/admin/status`, {headers: {authorization: `Bearer ${adminToken}`}});
		const {endpoints} = await response.json() as {endpoints: Array<{waitingTokens?: number}>};
		if (endpoints.some(endpoint => endpoint.waitingTokens === waitingTokens)) {
			return;
		}

		await sleep(10);
	}

	throw new Error('the report did not arrive');
};

const [a, b] = [createEndpoint('a'), createEndpoint('b')];

describe('choice of an engine', () => {
	it('prefers the engine that has the prompt cached; guards against prefixes that are compared under other names', () => {
		const {choice} = createChoice();
		const {prompt} = createRequest();
		choice.reported(a, createReport());
		choice.reported(b, createReport({prefixes: namePrefixes(prompt, [3200])}));
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: b, stage: 'whole'});
	});

	it('counts its own dispatches until a report contains them; guards against flooding an engine that reported idle', () => {
		const {choice} = createChoice();
		choice.reported(a, createReport());
		choice.reported(b, createReport({waitingTokens: 300}));
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: a, stage: 'whole'});
		choice.dispatched(a, createRequest(), 'whole');
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: b, stage: 'whole'});
	});

	it('refuses only a queue that is measured and too long; guards against refusals without a reason and late answers', () => {
		const {choice} = createChoice();
		choice.reported(a, createReport({waitingTokens: 0}));
		assert.equal(choice.choose([a], createRequest()), {endpoint: a, stage: 'whole'});
		choice.reported(a, createReport({waitingTokens: 60_000, prefillTokensPerSecond: undefined}));
		assert.equal(choice.choose([a], createRequest()), {endpoint: a, stage: 'whole'});
		choice.reported(a, createReport({waitingTokens: 60_000}));
		const refusal = choice.choose([a], createRequest());
		assert.ok(refusal && 'retryAfterMs' in refusal && refusal.retryAfterMs > 5000);
		assert.equal(choice.choose([a], createRequest({mayRefuse: false})), {endpoint: a, stage: 'whole'});
	});

	it('splits a request only if another engine can continue it; guards against an engine that cannot answer', () => {
		const {choice} = createChoice();
		choice.reported(a, createReport({role: 'prefill'}));
		assert.is(choice.choose([a], createRequest()), undefined);
		choice.reported(b, createReport({role: 'decode'}));
		assert.equal(choice.choose([a, b], createRequest({maySplit: false})), {endpoint: b, stage: 'whole'});
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: a, stage: 'prefill'});
		assert.is(choice.chooseDecode([a, b], createRequest()), b);
		choice.reported(a, createReport({role: 'mixed', waitingTokens: 100}));
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: a, stage: 'whole'});
	});

	it('uses another data centre only as a fallback and keeps suspects apart; guards against two crash suspects at one engine', () => {
		const {choice} = createChoice();
		const far = createEndpoint('far', 'dc-2');
		choice.reported(a, createReport({waitingTokens: 100}));
		choice.reported(far, createReport());
		assert.equal(choice.choose([far, a], createRequest()), {endpoint: a, stage: 'whole'});
		assert.equal(choice.choose([far, createEndpoint('c', 'dc-1', 1)], createRequest({isSuspect: true})), {endpoint: far, stage: 'whole'});
		assert.is(choice.choose([createEndpoint('c', 'dc-1', 1)], createRequest({isSuspect: true})), undefined);
		choice.removed(far);
		choice.reported(a, createReport({waitingTokens: 9000}));
		choice.reported(far, createReport());
		assert.equal(choice.choose([far, a], createRequest()), {endpoint: far, stage: 'whole'});
	});

	it('refuses where no engine keeps the pace; guards against admission that checks only the first token', () => {
		const {choice} = createChoice();
		const full = {
			running: 12, stepMs: 60, stepMsPerRequest: 1,
		};
		choice.reported(a, createReport(full));
		const request = createRequest({expectedOutput: 100});
		const refusal = choice.choose([a], request);
		assert.ok(refusal && 'retryAfterMs' in refusal && refusal.retryAfterMs > 0);
		// Seven of twelve requests have to end: at 66 ms for each of 4 tokens and six at a time that takes 308 ms.
		assert.equal(choice.choose([a], createRequest({expectedOutput: 4, firstTokenMs: 800})), {endpoint: a, stage: 'whole'});
		choice.reported(b, createReport({running: 12}));
		assert.equal(choice.choose([a, b], request), {endpoint: b, stage: 'whole'});
	});

	it('drains a reported queue over time; guards against a choice that takes old reports for the present', () => {
		const {clock, choice} = createChoice();
		choice.reported(a, createReport({waitingTokens: 4000}));
		choice.reported(b, createReport({waitingTokens: 50, prefillTokensPerSecond: 3000}));
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: b, stage: 'whole'});
		clock.advance(400);
		assert.equal(choice.choose([a, b], createRequest()), {endpoint: a, stage: 'whole'});
	});

	it('learns the queue from a refusal; guards against every request trying the full engine first', async () => withEntry(async world => {
		const full = await addAgent(world, 'planner-engines', {
			'request.start'() {
				throw createRequestError('full', {
					code: 'overloaded', ran: 'not-run', status: 429, retryAfterMs: 50, queuedTokens: 50_000,
				});
			},
		});
		const free = await addAgent(world, 'planner-engines', {
			'request.start'(params, peer) {
				setImmediate(() => {
					sendEnd(peer, params, 0);
				});
				return {accepted: true, queuedTokens: 3000};
			},
		});
		for (const [agent, waitingTokens] of [[full, 1], [free, 3000]] as const) {
			for (const peer of agent.peers) {
				peer.notify('load.report', createReport({waitingTokens}));
			}
		}

		await untilReported(world.entry.adminPort, 1);
		await untilReported(world.entry.adminPort, 3000);
		for (const _ of [1, 2, 3]) {
			const {status} = await complete(world);
			assert.is(status, 200);
		}

		assert.equal([full.starts.length, free.starts.length], [1, 3]);
	}));

	it('answers a refusal as not run with a time to come back; guards against a request that waits for its deadline (I10)', async () => withEntry(async world => {
		let starts = 0;
		const agent = await addAgent(world, 'planner-engines', {
			'request.start'() {
				starts += 1;
				return {accepted: true, queuedTokens: 0};
			},
		});
		await until(() => agent.peers.size > 0, 'the connection');
		for (const report of [createReport({waitingTokens: 100_000}), createReport({running: 40, stepMs: 60, waitingTokens: 1})]) {
			for (const peer of agent.peers) {
				peer.notify('load.report', report);
			}

			await untilReported(world.entry.adminPort, report.waitingTokens);
			assert.is(await describeError(await complete(world)), '429 overloaded not-run retry');
		}

		assert.is(starts, 0);
	}));
});
