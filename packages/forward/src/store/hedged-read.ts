/**
 * The first read of a table by an entry that knows nothing yet. A store that has been silent may return while a call waits on a connection that never gets
 * an answer, so a further call begins while earlier ones wait, and the first answer counts.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '@hawthorncleat/core';

/** A store that works answers in a small part of it; a slow one is asked few times more. */
const hedgeMs = 500;
/** Entries that were started together do not ask at the same moments. */
const hedgeSpread = 0.5;
/** Beyond it the call that waits longest is about to be given up. */
const maxCalls = 4;

/** Pause before the next call while earlier ones wait. */
export const hedgePauseMs = (random: Random): number => hedgeMs * (1 - (hedgeSpread / 2) + (hedgeSpread * random()));

/** Resolves with the first answer; rejects when all calls have failed. The other calls are ended. */
export const hedgedRead = async <Answer>(read: (signal: AbortSignal) => Promise<Answer>, random: Random, signal: AbortSignal): Promise<Answer> => {
	const done = new AbortController();
	const callSignal = AbortSignal.any([signal, done.signal]);
	const calls: Array<Promise<Answer>> = [];
	try {
		while (calls.length < maxCalls - 1) {
			calls.push(read(callSignal));
			const first = Promise.any(calls);
			const pause = sleep(hedgePauseMs(random), undefined, {signal: callSignal});
			// A call that fails at once, like a refusal, is repeated after the pauses of its caller.
			const outcome = await Promise.race([first.then(answer => ({answer})), pause.then(() => undefined)]);
			if (outcome) {
				return outcome.answer;
			}
		}

		calls.push(read(callSignal));
		return await Promise.any(calls);
	} catch (error) {
		throw error instanceof AggregateError ? error.errors.at(-1) as Error : error;
	} finally {
		done.abort();
	}
};
