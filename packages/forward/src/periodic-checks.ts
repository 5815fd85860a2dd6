/**
 * What an entry looks at all the time: endpoints that have gone silent or have not registered again, and its own readiness.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {DecisionLog} from './decision-log.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointPool} from './endpoint-pool.js';

/** A quarter of the shortest silence that counts. */
const pauseMs = 100;
/** Time that counts as silence between two looks; more means that this process could not hear. */
const maxSilenceStepMs = 150;

export type PeriodicCheckOptions = {
	readonly clock: Clock;
	readonly pool: EndpointPool;
	readonly directory: EndpointDirectory;
	readonly isReady: () => boolean;
	/** Entries that live and share the limits, this one included. */
	readonly liveEntries: () => number;
	readonly log: DecisionLog;
};

/** Endpoints whose streams have all gone silent are avoided like those that fail. */
const noteSilence = ({pool, log}: PeriodicCheckOptions, passedMs: number, nowMs: number): void => {
	for (const {endpoint, silence, trust} of pool.all()) {
		if (silence.pass(passedMs) && !trust.isAvoided(nowMs)) {
			trust.failed(nowMs);
			log.write('endpoint', {
				id: endpoint.id, was: 'heard', is: 'silent', failures: trust.failures,
			});
		}
	}
};

/** Runs until `signal` aborts. */
export const runPeriodicChecks = async (options: PeriodicCheckOptions, signal: AbortSignal): Promise<void> => {
	const {clock, directory, isReady, liveEntries, log} = options;
	let wasReady = false;
	let living = 0;
	let lookedMs = clock.nowMs();
	while (!signal.aborted) {
		const nowMs = clock.nowMs();
		noteSilence(options, Math.min(maxSilenceStepMs, nowMs - lookedMs), nowMs);
		lookedMs = nowMs;
		directory.removeExpired();
		if (isReady() !== wasReady) {
			wasReady = isReady();
			log.write('ready', {ready: wasReady});
		}

		if (liveEntries() !== living) {
			living = liveEntries();
			log.write('peer', {living});
		}

		await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
	}
};
