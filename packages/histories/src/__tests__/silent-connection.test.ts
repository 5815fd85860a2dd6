/**
 * A connection between entry and agent goes silent for good in mid-stream: the stream goes on over a new connection within
 * the limits of the design page, and nothing is lost, doubled or run again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createCallerKey, issueKeys} from '../caller-keys.js';
import {promptTag} from '../caller.js';
import {listWork} from '../endpoint-requests.js';
import {withLinkedFleet} from '../fleet-links.js';
import {KeptCaller} from '../kept-caller.js';
import {createSeededRandom} from '../random.js';
import type {LostBytes} from '../relay.js';
import {findCutCalls, findSlowCalls, findWrongAnswers} from '../rules/request-rules.js';

type Scenario = {
	readonly seed: number;
	readonly lost: LostBytes;
	/** The connection is silent before the requests are sent, so that none of them is answered as accepted. */
	readonly isSilentBefore?: boolean;
};

const scenarios: readonly Scenario[] = [
	{seed: 131, lost: 'both'},
	{seed: 132, lost: 'to-dialer'},
	{seed: 133, lost: 'to-target'},
	{seed: 134, lost: 'to-dialer', isSilentBefore: true},
];
/** Silence limit of 3 s, found at the next heartbeat, and the first reconnection. */
const resumeLimitMs = 5000;
const streamCount = 12;
const maxTokens = 100;
const stepMs = 10;

/**
 * A request that is lost on its way to an agent is tried again at another endpoint only, so that the scenario in which
 * requests are lost needs a second one.
 */
const engineNames = (lost: LostBytes): string[] => lost === 'to-target' ? ['engine-1', 'engine-2'] : ['engine-1'];

const runScenario = async ({seed, lost, isSilentBefore = false}: Scenario): Promise<void> => {
	const random = createSeededRandom(seed);
	const key = createCallerKey(random, 'caller', 'planning');
	await withLinkedFleet({
		seed, entries: 1, engines: engineNames(lost).map(name => ({name, dataCentre: 'dc-1', options: {stepMs}})),
	}, async (fleet, links) => {
		await fleet.waitForVersion(await fleet.apply(issueKeys([key])));
		const silence = (): number => {
			links.host(fleet, 'agent-engine-1').silenceOpen(lost);
			return performance.now();
		};

		const earlySilentMs = isSilentBefore ? silence() : undefined;
		const callers = Array.from({length: streamCount}, () => new KeptCaller(fleet, 'entry-1', key));
		const calls = callers.map(async (caller, index) => caller.call({
			id: `s${index}`, prompt: `${promptTag(`s${index}`)} stream`, maxTokens, stream: true,
		}));
		await sleep(random.integer(150, 500));
		const silentMs = earlySilentMs ?? silence();
		const ended = await Promise.all(calls);
		assert.equal(findCutCalls(ended, false), []);
		assert.equal(findWrongAnswers(ended), []);
		// The engine finishes within the silence, so that the limit covers the rest of the stream too.
		assert.equal(findSlowCalls(ended.map(call => ({...call, sentMs: silentMs})), resumeLimitMs), []);
		// Frames still arrive when only the other direction is lost; the call after the streams then meets the silence.
		assert.ok(lost === 'to-target' || ended.every(call => call.endedMs - silentMs > 1000), 'a stream had ended before the silence was noticed');
		const runs = listWork(fleet).map(({callId}) => callId).toSorted((a, b) => a!.localeCompare(b!));
		assert.equal(runs, callers.map((_, index) => `s${index}`).toSorted((a, b) => a.localeCompare(b)));
		const after = await Promise.all(callers.slice(0, 3).map(async (caller, index) => caller.call({
			id: `after${index}`, prompt: `${promptTag(`after${index}`)} next`, maxTokens: 3,
		})));
		assert.equal([...findCutCalls(after, false), ...findWrongAnswers(after)], []);
		await Promise.all(callers.map(async caller => caller.close()));
	});
};

describe('a stream survives a connection that goes silent for good', () => {
	for (const scenario of scenarios) {
		it(`seed ${scenario.seed}: bytes lost ${scenario.lost}${scenario.isSilentBefore ? ' before the start' : ''}; guards against a stream that hangs, loses tokens or runs twice`, async () => {
			await runScenario(scenario);
		});
	}
});
