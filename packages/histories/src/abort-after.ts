/**
 * A time limit as an abort signal.
 */
import {setMaxListeners} from 'node:events';

/**
 * Returns a signal that aborts after the duration or together with `signal`. Node 20 can collect a signal of
 * `AbortSignal.timeout` that only `AbortSignal.any` refers to, and then never aborts; a plain timer has no such fault.
 */
export const abortAfter = (durationMs: number, signal: AbortSignal): AbortSignal => {
	const controller = new AbortController();
	// All senders of a load and all tracks of faults listen to one signal.
	setMaxListeners(0, controller.signal);
	const abort = (): void => {
		clearTimeout(timer);
		signal.removeEventListener('abort', abort);
		controller.abort();
	};

	const timer = setTimeout(abort, durationMs);
	signal.addEventListener('abort', abort, {once: true});
	if (signal.aborted) {
		abort();
	}

	return controller.signal;
};
