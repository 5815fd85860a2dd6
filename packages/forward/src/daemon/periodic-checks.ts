/**
 * Checks that an entry repeats all the time: ejects endpoints whose streams have stalled, removes those that did not register
 * again, and logs changes of its readiness and of the number of live entries.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {EndpointDirectory} from '../endpoints/endpoint-directory.js';
import type {EndpointPool} from '../endpoints/endpoint-pool.js';

/** A quarter of the shortest stall that counts. */
const checkIntervalMs = 100;
/**
 * At most this much time between two checks counts towards a stall. A longer interval means that this process itself did not run
 * and could not receive anything.
 */
const maxCountedIntervalMs = 150;

export type PeriodicCheckOptions = {
	readonly clock: Clock;
	readonly pool: EndpointPool;
	readonly directory: EndpointDirectory;
	readonly isReady: () => boolean;
	/** Number of live entries that share the limits, including this one. */
	readonly liveEntries: () => number;
	/** Called at each check. */
	readonly onCheck: () => void;
	readonly log: DecisionLog;
};

/** Ejects endpoints whose streams have all stalled, like endpoints that fail. */
const ejectStalled = ({pool, log}: PeriodicCheckOptions, elapsedMs: number, nowMs: number): void => {
	for (const {endpoint, stallDetector, ejection} of pool.all()) {
		if (stallDetector.advance(elapsedMs) && !ejection.isEjected(nowMs)) {
			ejection.recordFailure(nowMs);
			log.write('endpoint', {
				id: endpoint.id, was: 'heard', is: 'silent', failures: ejection.failures,
			});
		}
	}
};

/** Runs until `signal` aborts. */
export const runPeriodicChecks = async (options: PeriodicCheckOptions, signal: AbortSignal): Promise<void> => {
	const {clock, directory, isReady, liveEntries, log} = options;
	let wasReady = false;
	let living = 0;
	let lastCheckMs = clock.nowMs();
	while (!signal.aborted) {
		const nowMs = clock.nowMs();
		ejectStalled(options, Math.min(maxCountedIntervalMs, nowMs - lastCheckMs), nowMs);
		lastCheckMs = nowMs;
		directory.removeExpired();
		options.onCheck();
		if (isReady() !== wasReady) {
			wasReady = isReady();
			log.write('ready', {ready: wasReady});
		}

		if (liveEntries() !== living) {
			living = liveEntries();
			log.write('peer', {living});
		}

		await sleep(checkIntervalMs, undefined, {signal}).catch(() => undefined);
	}
};
