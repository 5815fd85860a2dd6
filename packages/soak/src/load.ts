/**
 * Generates the load of the soak. Every entry has a fixed number of callers. Each caller keeps its connection open and sends
 * one request after the other; it abandons some of them before the answer.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SeededRandom} from '@hawthorncleat/histories';
import {CallerStandIn, type Call} from '@hawthorncleat/platform/stand-ins';
import type {EntryProcess} from './entry-process.js';

const callersPerEntry = 6;
const routes = ['read', 'read', 'order', 'stream', 'plan'] as const;
const callerKeys = [{account: 'acme', key: 'k1'}, {account: 'acme', key: 'k2'}, {account: 'bolt', key: 'k3'}] as const;
const timeLimitMs = 3000;
const abandonFraction = 0.05;
const maxPauseBetweenCallsMs = 80;
/** A caller waits at most this long after a rejection, even if `retry-after` is longer, so that the run stays under load. */
const maxRetryAfterMs = 400;
/** Pause after a call without an answer, as when the entry is down. */
const unreachablePauseMs = 50;

type KeyedCall = Call & {readonly key: string};

export type Load = {
	/** Completed calls of all callers so far. */
	readonly calls: readonly KeyedCall[];
	/** Settles when all callers have stopped. */
	readonly ended: Promise<void>;
};

type CallerOptions = {readonly entry: EntryProcess; readonly index: number; readonly random: SeededRandom; readonly calls: KeyedCall[]};

const runCaller = async ({entry, index, random, calls}: CallerOptions, signal: AbortSignal): Promise<void> => {
	const caller = new CallerStandIn(entry.name, entry.ports.callers);
	const {account, key} = random.pick(callerKeys);
	for (let number = 1; !signal.aborted; number += 1) {
		const route = random.pick(routes);
		const id = `${entry.name}c${index}n${number}`;
		const call = await caller.call({
			id, route, account, key, timeLimitMs, body: route === 'read' ? '' : `body of ${id}`,
			...random.chance(abandonFraction) && {abandonAfterMs: random.integer(1, 120)},
		});
		calls.push({...call, key});
		const pauseMs = call.status === 0 ? unreachablePauseMs : Math.min(call.retryAfterMs ?? 0, maxRetryAfterMs);
		await sleep(pauseMs + random.integer(0, maxPauseBetweenCallsMs));
	}

	await caller.close();
};

/** Starts the callers, which send requests until the signal aborts. */
export const startLoad = (entries: readonly EntryProcess[], random: SeededRandom, signal: AbortSignal): Load => {
	const calls: KeyedCall[] = [];
	const callers = entries.flatMap(entry => Array.from({length: callersPerEntry}, async (_, index) =>
		runCaller({
			entry, index, random: random.fork(), calls,
		}, signal)));
	return {calls, ended: Promise.all(callers).then(() => undefined)};
};
