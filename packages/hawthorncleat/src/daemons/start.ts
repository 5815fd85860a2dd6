/**
 * How daemons are started and what they need. The start functions are found by name when the command runs, so that
 * an operator command loads no daemon.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Clock, MakeId, Random} from '@hawthorncleat/core';
import type {AgentSettings, EntrySettings} from '@hawthorncleat/schema';
import {createConsola, type ConsolaInstance} from 'consola';
import {createCommandError, exitCodes} from '../exit-codes.js';

/** A daemon that runs. */
export type RunningDaemon = {
	/** Settles when all resources are released. */
	readonly closed: Promise<void>;
	/** Finishes running requests and settles when none is left. */
	drain(): Promise<void>;
};

/** What a daemon is given. */
export type DaemonDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: ConsolaInstance;
};

/** Starts a daemon that runs until the signal aborts or it has drained. */
export type StartDaemon<Settings> = (settings: Settings, deps: DaemonDeps, signal: AbortSignal) => Promise<RunningDaemon>;

/** Settings that describe the log. */
export type LogSettings = Pick<EntrySettings | AgentSettings, 'logFormat' | 'logLevel'>;

const consolaLevels = {
	error: 0, warn: 1, info: 3, debug: 4,
} as const;

/** Errors have no enumerable fields, so JSON would show them empty. */
const toPlainValue = (value: unknown): unknown =>
	value instanceof Error ? {name: value.name, message: value.message, stack: value.stack} : value;

/** Creates the log: JSON lines or lines for people, both on standard error. */
export const createLog = (
	{logFormat, logLevel}: LogSettings,
	writeLine: (line: string) => void,
): ConsolaInstance => createConsola({
	level: consolaLevels[logLevel],
	stdout: process.stderr,
	stderr: process.stderr,
	...logFormat === 'json' && {
		reporters: [{
			log({type: level, date, args}) {
				const [message, ...details] = (args as unknown[]).map(value => toPlainValue(value));
				writeLine(JSON.stringify({
					time: date.toISOString(), level, message, ...details.length > 0 && {details},
				}));
			},
		}],
	},
});

/** The clock, randomness and ids of a real process. */
export const createDaemonDeps = (log: ConsolaInstance): DaemonDeps => ({
	clock: {nowMs: () => performance.now()},
	random: Math.random,
	makeId: () => randomUUID(),
	log,
});

/** Loads a function of a package by name. */
export const loadFunction = async <Loaded>(packageName: string, functionName: string): Promise<Loaded> => {
	const loaded = await import(packageName) as Record<string, unknown>;
	if (typeof loaded[functionName] !== 'function') {
		throw createCommandError(`${packageName} has no function ${functionName}`, exitCodes.failed);
	}

	return loaded[functionName] as Loaded;
};
