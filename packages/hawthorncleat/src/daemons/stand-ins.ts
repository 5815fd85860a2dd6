/**
 * Wiring of the stand-ins that `dev` uses in place of a platform and endpoints.
 */
import {loadFunction} from './start.js';

/** A stand-in that serves HTTP on loopback. */
export type RunningStandIn = {readonly port: number; readonly url: string};

/** Starts a stand-in that runs until the signal aborts. */
export type StartStandIn = (options: Record<string, unknown>, signal: AbortSignal) => Promise<RunningStandIn>;

/** The stand-ins. */
export type StandIns = {
	readonly startPlatform: StartStandIn;
	readonly startEngine: StartStandIn;
	readonly startPlainService: StartStandIn;
};

const startByName = (name: keyof StandIns): StartStandIn => async (options, signal) => {
	const start = await loadFunction<StartStandIn>('@hawthorncleat/stand-ins', name);
	return start(options, signal);
};

/** The stand-ins of this repository. */
export const standIns: StandIns = {
	startPlatform: startByName('startPlatform'),
	startEngine: startByName('startEngine'),
	startPlainService: startByName('startPlainService'),
};
