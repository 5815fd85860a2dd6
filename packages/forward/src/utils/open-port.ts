/**
 * Opens the ports of an entry. A port may be in use for a while, by a connection that any process of the host has opened or by the process that this one
 * replaces, and the address of a host that starts may not be set up yet. So a port that cannot be opened is tried again until the entry is told to stop.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** Called with each failure to open a port. */
export type PortFailureListener = (port: string, error: unknown) => void;

export type OpenPortOptions = {
	readonly signal: AbortSignal;
	readonly onFailure: PortFailureListener;
};

const firstPauseMs = 50;
const maxPauseMs = 1000;

/** Calls `open` until it succeeds. Returns false if the signal has aborted before. `port` names the port in reports of failures. */
export const openPort = async (port: string, open: () => Promise<unknown>, {signal, onFailure}: OpenPortOptions): Promise<boolean> => {
	let pauseMs = firstPauseMs;
	while (!signal.aborted) {
		try {
			await open();
			return true;
		} catch (error) {
			onFailure(port, error);
		}

		await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
		pauseMs = Math.min(maxPauseMs, pauseMs * 2);
	}

	return false;
};
