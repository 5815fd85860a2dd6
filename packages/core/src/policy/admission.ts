/**
 * Admission before queueing. What cannot meet its first token or its pace is refused at once, with the time after which
 * the estimate would allow it. The entry calls this with its estimates, the agent with the state of its own queue.
 */
import {
	estimateMsPerToken, estimatePrefillMs, usableSlots, servesStage,
} from './engine-model.js';
import type {EndpointState} from './load-estimator.js';
import {firstTokenLimitMs, type LatencyTarget} from './targets.js';

export type AdmissionRequest = {
	readonly target: LatencyTarget;
	readonly promptTokens: number;
	/** Prompt tokens that need work at the chosen endpoint. */
	readonly uncachedTokens: number;
	/** Expected output; decides how long a full engine takes to free a place. */
	readonly outputTokens: number;
	/** Time since the request arrived at the entry. */
	readonly elapsedMs: number;
	/** Whether the agent starts the request only when a place is free, so that it can wait for one before its first token. */
	readonly canWaitForSlot?: boolean;
};

/** Endpoints that the request would use. The agent leaves out what it does not know. */
export type AdmissionEndpoints = {
	readonly prefill: Pick<EndpointState, 'distanceMs' | 'rates' | 'role' | 'running' | 'waitingTokens'> | undefined;
	/** Endpoints that could decode the request: the same mixed endpoint, or decode endpoints; absent if unknown. */
	readonly decode?: ReadonlyArray<Pick<EndpointState, 'rates' | 'role' | 'running' | 'waitingTokens'>>;
};

export type Admission
	= | {readonly accepted: true; readonly firstTokenInMs: number}
		| {readonly accepted: false; readonly reason: 'first-token' | 'no-endpoint' | 'pace'; readonly retryAfterMs: number};

const minRetryAfterMs = 50;
// Estimates further ahead than this are worth nothing while the mix shifts.
const maxRetryAfterMs = 10_000;
// Time after which a caller tries again when no endpoint serves the model at all.
const noEndpointRetryMs = 2000;

const refuse = (reason: 'first-token' | 'no-endpoint' | 'pace', afterMs: number): Admission => ({
	accepted: false,
	reason,
	retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, afterMs))),
});

type DecodeState = NonNullable<AdmissionEndpoints['decode']>[number];

const places = ({rates, role, waitingTokens}: DecodeState, paceMs: number): number =>
	usableSlots(rates, paceMs, role === 'mixed' && waitingTokens > 0);

const placesLeft = (state: DecodeState, paceMs: number): number => places(state, paceMs) - state.running;

/** Time until so many requests of a full engine have ended, with the running ones evenly spread over their output. */
const placesFreedMs = (state: DecodeState, {outputTokens, target}: AdmissionRequest, count: number): number => {
	// What exceeds the places waits and slows nothing.
	const running = Math.min(state.running, places(state, target.maxMsPerToken));
	return estimateMsPerToken(state.rates, running, false) * outputTokens * count / Math.max(1, running);
};

/** Refuses a request that finds no place in decode, unless it can wait for one for `slackMs`. */
const admitDecode = (view: AdmissionEndpoints, request: AdmissionRequest, slackMs: number): Admission | undefined => {
	if (!view.decode) {
		return undefined;
	}

	const {maxMsPerToken: paceMs} = request.target;
	const best = view.decode
		.filter(({role}) => servesStage(role, 'decode'))
		.toSorted((a, b) => placesLeft(b, paceMs) - placesLeft(a, paceMs))[0];
	if (!best) {
		return refuse('no-endpoint', noEndpointRetryMs);
	}

	const left = placesLeft(best, paceMs);
	if (left >= 1) {
		return undefined;
	}

	const waitMs = placesFreedMs(best, request, 1 - left);
	const allowedMs = request.canWaitForSlot ? slackMs : 0;
	return waitMs <= allowedMs ? undefined : refuse('pace', waitMs - allowedMs);
};

/** Accepts a request whose first token and pace can be met, and refuses any other at once. */
export const admit = (view: AdmissionEndpoints, request: AdmissionRequest): Admission => {
	const {prefill} = view;
	if (!prefill) {
		return refuse('no-endpoint', noEndpointRetryMs);
	}

	const {distanceMs, rates, role, running} = prefill;
	const tokens = prefill.waitingTokens + request.uncachedTokens;
	const firstTokenInMs = distanceMs + estimatePrefillMs(rates, role, running, tokens);
	const remainingMs = firstTokenLimitMs(request.target, request.promptTokens) - request.elapsedMs;
	if (firstTokenInMs > remainingMs) {
		return refuse('first-token', firstTokenInMs - remainingMs);
	}

	return admitDecode(view, request, remainingMs - firstTokenInMs) ?? {accepted: true, firstTokenInMs};
};
