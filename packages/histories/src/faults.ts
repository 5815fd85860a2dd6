/**
 * Faults injected into a running fleet, chosen by seed: kills, restarts, replacements, pauses, and a table that is down,
 * slow or loses answers. One track of process faults and one of table faults run side by side, so that they meet.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {abortAfter} from './abort-after.js';
import type {Fleet} from './fleet.js';
import type {SeededRandom} from './random.js';

/** A fault of a process. */
export type ProcessFault = 'kill-and-restart' | 'stop-and-restart' | 'replace' | 'short-pause' | 'long-pause';

/** A fault of the table. */
export type TableFault = 'lost-answers' | 'down' | 'slow';

/** Which faults are injected and for how long. */
export type FaultOptions = {
	readonly durationMs: number;
	readonly processFaults: readonly ProcessFault[];
	/** The processes that may be hit. */
	readonly targets: readonly string[];
	readonly tableFaults: readonly TableFault[];
	/** False if a restarted process cannot become ready, because another agent holds its slot. */
	readonly awaitReady?: boolean;
};

const shortPauseMs = [50, 800] as const;
// Beyond the silence limit of 3000 ms, after which the other side closes the connection.
const longPauseMs = [3100, 3600] as const;
const deadMs = [50, 500] as const;
const gapMs = [50, 400] as const;
const tableDownMs = [200, 1500] as const;
// Up to beyond the wait for a claim of 2000 ms.
const tableSlowMs = [100, 2600] as const;
const tableSlowForMs = [500, 1500] as const;
const lostAnswers = [1, 6] as const;

type Range = readonly [number, number];

const sleep = async (random: SeededRandom, [from, to]: Range, signal: AbortSignal): Promise<void> => {
	await delay(random.integer(from, to), undefined, {signal}).catch(() => undefined);
};

const pauseWhile = async (fleet: Fleet, target: string, waiting: () => Promise<void>): Promise<void> => {
	fleet.pause(target);
	await waiting();
	fleet.resume(target);
};

const injectProcessFault = async (fleet: Fleet, {processFaults, targets, awaitReady}: FaultOptions, random: SeededRandom, signal: AbortSignal): Promise<void> => {
	const target = random.pick(targets);
	switch (random.pick(processFaults)) {
		case 'kill-and-restart': {
			await fleet.kill(target);
			await sleep(random, deadMs, signal);
			await fleet.restart(target, awaitReady);
			return;
		}

		case 'stop-and-restart': {
			await fleet.stop(target);
			await fleet.restart(target, awaitReady);
			return;
		}

		case 'replace': {
			await fleet.replace(target);
			return;
		}

		case 'short-pause': {
			await pauseWhile(fleet, target, async () => sleep(random, shortPauseMs, signal));
			return;
		}

		case 'long-pause': {
			await pauseWhile(fleet, target, async () => sleep(random, longPauseMs, signal));
		}
	}
};

const injectTableFault = async (fleet: Fleet, {tableFaults}: FaultOptions, random: SeededRandom, signal: AbortSignal): Promise<void> => {
	switch (random.pick(tableFaults)) {
		case 'lost-answers': {
			fleet.setFaults({loseTableAnswers: random.integer(...lostAnswers)});
			await sleep(random, tableSlowForMs, signal);
			return;
		}

		case 'down': {
			fleet.setFaults({tableDown: true});
			await sleep(random, tableDownMs, signal);
			break;
		}

		case 'slow': {
			fleet.setFaults({tableSlowMs: random.integer(...tableSlowMs)});
			await sleep(random, tableSlowForMs, signal);
			break;
		}
	}

	fleet.setFaults({});
};

const repeatUntil = async (random: SeededRandom, inject: () => Promise<void>, ending: AbortSignal): Promise<void> => {
	while (!ending.aborted) {
		await sleep(random, gapMs, ending);
		if (!ending.aborted) {
			await inject();
		}
	}
};

/** Injects faults for the given time and settles when the last process is running and the table is well again. */
export const injectFaults = async (fleet: Fleet, options: FaultOptions, signal: AbortSignal): Promise<void> => {
	const ending = abortAfter(options.durationMs, signal);
	const tracks: Array<Promise<void>> = [];
	if (options.processFaults.length > 0) {
		const random = fleet.random.fork();
		tracks.push(repeatUntil(random, async () => injectProcessFault(fleet, options, random, ending), ending));
	}

	if (options.tableFaults.length > 0) {
		const random = fleet.random.fork();
		tracks.push(repeatUntil(random, async () => injectTableFault(fleet, options, random, ending), ending));
	}

	await Promise.all(tracks);
	fleet.setFaults({});
};
