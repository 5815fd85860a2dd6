/**
 * What the planned stop of this entry means for its requests. An answer that has begun can only be cut when the stop reaches its limit, and expected
 * times are too low in the tail. So the estimates decide only whether a late request is worth running; that it is not cut follows from
 * sending its answer once it is complete.
 */
import {areMostReady, maxQueueMs} from '@hawthorncleat/core';
import type {EntryPhases} from '../daemon/entry-phases.js';
import type {ForwardSettings} from '../ports.js';
import type {AdmittedRequest} from './admitted-request.js';

export type StopTimes = {
	/** Time since this entry was told to stop; undefined if it was not. */
	readonly stoppingMs: number | undefined;
	/** Time until this process must have ended; infinite unless it was told to stop. */
	readonly endsInMs: number;
	/** Whether the end of this process may cut the answer to a request that is complete now. */
	readonly isInterruptible: boolean;
	/** Whether most of the other entries are ready and not stopping. */
	readonly areMostPeersReady: boolean;
};

export const createStopTimes = (phases: Pick<EntryPhases, 'isStopping' | 'peers' | 'stoppingMs'>, settings: () => Pick<ForwardSettings, 'interruptibleMs' | 'stopLimitMs'>): StopTimes => ({
	get stoppingMs() {
		return phases.isStopping ? phases.stoppingMs : undefined;
	},
	get endsInMs() {
		return phases.isStopping ? settings().stopLimitMs - phases.stoppingMs : Number.POSITIVE_INFINITY;
	},
	get isInterruptible() {
		return phases.stoppingMs < settings().interruptibleMs;
	},
	get areMostPeersReady() {
		return areMostReady(phases.peers());
	},
});

/** A request may take this many times as long as expected, and this much longer, until the stop limit. */
const stopDurationFactor = 2;
const stopDurationMarginMs = 1000;

/** Expected times of a placed request, as far as they are known. */
type Timing = {
	readonly decode?: {readonly msPerToken: number};
	readonly firstTokenMs?: number;
};

const decodeMs = ({outputTokens}: AdmittedRequest, {decode}: Timing): number => decode ? outputTokens * decode.msPerToken : 0;

/** Expected time until the answer is complete. */
export const expectedAnswerMs = (admitted: AdmittedRequest, timing: Timing): number => timing.decode
	? (timing.firstTokenMs ?? 0) + decodeMs(admitted, timing)
	: admitted.route.latencyTargetMs;

const isInTime = (expectedMs: number, {endsInMs}: StopTimes): boolean => (expectedMs * stopDurationFactor) + stopDurationMarginMs <= endsInMs;

/** Whether a request is expected to end before this entry does. */
export const fitsStop = (admitted: AdmittedRequest, timing: Timing, stop: StopTimes): boolean => isInTime(expectedAnswerMs(admitted, timing), stop);

/** Whether the run of a request that has been prefilled is expected to end before this entry does. */
export const fitsStopAfterPrefill = (admitted: AdmittedRequest, timing: Timing, stop: StopTimes): boolean => isInTime(decodeMs(admitted, timing), stop);

/**
 * Whether a request that has not run is better served here than refused. A stream whose events are sent all at once is late, so another entry serves
 * it better; if most of them are away, it is of use as long as its caller waits for the first event.
 */
export const isWorthRunning = (admitted: AdmittedRequest, timing: Timing, stop: StopTimes): boolean => {
	const {exchange, route} = admitted;
	if (!fitsStop(admitted, timing, stop)) {
		return false;
	}

	const limitMs = stop.areMostPeersReady ? route.latencyTargetMs : maxQueueMs(route);
	return !exchange.isBuffered || route.kind !== 'stream' || exchange.elapsedMs + expectedAnswerMs(admitted, timing) <= limitMs;
};

/** Decides how the answer to a request that is complete now is sent: it must not begin if the stop may end before the request does. */
export const protectFromStop = ({exchange}: Pick<AdmittedRequest, 'exchange'>, {isInterruptible, endsInMs}: StopTimes): void => {
	if (!isInterruptible && exchange.remainingMs > endsInMs) {
		exchange.bufferAnswer();
	}
};
