/**
 * Admission control before queueing. A request that would miss its limit for the first token or for the time per output
 * token is rejected immediately, with the time after which the estimate would admit it. An entry calls this with its
 * estimates of the engines, an agent with the state of its own queue.
 */
import {
	estimateMsPerToken, estimatePrefillMs, usableSlots, servesStage,
} from './engine-model.js';
import type {EndpointState} from './load-estimator.js';
import {firstTokenLimitMs, type LatencyTarget} from './targets.js';

export type AdmissionRequest = {
	readonly target: LatencyTarget;
	readonly promptTokens: number;
	/** Prompt tokens that the chosen endpoint does not have in its cache. */
	readonly uncachedTokens: number;
	/** Expected output tokens, which determine how soon a full engine frees a slot. */
	readonly outputTokens: number;
	/** Time since the request arrived at the entry. */
	readonly elapsedMs: number;
	/** Whether the agent starts the request only when a slot is free, so that the request can wait for one before its first token. */
	readonly canWaitForSlot?: boolean;
};

/** Endpoints that the request would use. */
export type AdmissionEndpoints = {
	readonly prefill: Pick<EndpointState, 'distanceMs' | 'rates' | 'role' | 'running' | 'waitingTokens'> | undefined;
	/** Endpoints that could decode the request: the same mixed endpoint, or decode endpoints. Absent if the caller has no data on them. */
	readonly decode?: ReadonlyArray<Pick<EndpointState, 'rates' | 'role' | 'running' | 'waitingTokens'>>;
};

export type Admission
	= | {readonly accepted: true; readonly firstTokenInMs: number}
		| {readonly accepted: false; readonly reason: 'first-token' | 'no-endpoint' | 'pace'; readonly retryAfterMs: number};

const minRetryAfterMs = 50;
// Estimates for a later time are useless, because the mix of requests shifts.
const maxRetryAfterMs = 10_000;
// Retry delay when no endpoint serves the model.
const noEndpointRetryMs = 2000;

const reject = (reason: 'first-token' | 'no-endpoint' | 'pace', afterMs: number): Admission => ({
	accepted: false,
	reason,
	retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, afterMs))),
});

type DecodeState = NonNullable<AdmissionEndpoints['decode']>[number];

const slotCount = ({rates, role, waitingTokens}: DecodeState, maxMsPerToken: number): number =>
	usableSlots(rates, maxMsPerToken, role === 'mixed' && waitingTokens > 0);

const freeSlots = (state: DecodeState, maxMsPerToken: number): number => slotCount(state, maxMsPerToken) - state.running;

/** Time until `count` requests of a full engine have ended, if the progress of the running ones is evenly distributed. */
const slotWaitMs = (state: DecodeState, {outputTokens, target}: AdmissionRequest, count: number): number => {
	// Requests beyond the slots wait and do not slow down the others.
	const running = Math.min(state.running, slotCount(state, target.maxMsPerToken));
	return estimateMsPerToken(state.rates, running, false) * outputTokens * count / Math.max(1, running);
};

/** Rejects a request without a free decode slot, unless it can wait for one and one is free within `slackMs`. */
const admitDecode = (endpoints: AdmissionEndpoints, request: AdmissionRequest, slackMs: number): Admission | undefined => {
	if (!endpoints.decode) {
		return undefined;
	}

	const {maxMsPerToken} = request.target;
	const best = endpoints.decode
		.filter(({role}) => servesStage(role, 'decode'))
		.toSorted((a, b) => freeSlots(b, maxMsPerToken) - freeSlots(a, maxMsPerToken))[0];
	if (!best) {
		return reject('no-endpoint', noEndpointRetryMs);
	}

	const free = freeSlots(best, maxMsPerToken);
	if (free >= 1) {
		return undefined;
	}

	const waitMs = slotWaitMs(best, request, 1 - free);
	const allowedWaitMs = request.canWaitForSlot ? slackMs : 0;
	return waitMs <= allowedWaitMs ? undefined : reject('pace', waitMs - allowedWaitMs);
};

/** Accepts a request if its first token and its output are expected to meet the latency target, and rejects it otherwise. */
export const admit = (endpoints: AdmissionEndpoints, request: AdmissionRequest): Admission => {
	const {prefill} = endpoints;
	if (!prefill) {
		return reject('no-endpoint', noEndpointRetryMs);
	}

	const {distanceMs, rates, role, running} = prefill;
	const tokens = prefill.waitingTokens + request.uncachedTokens;
	const firstTokenInMs = distanceMs + estimatePrefillMs(rates, role, running, tokens);
	const remainingMs = firstTokenLimitMs(request.target, request.promptTokens) - request.elapsedMs;
	if (firstTokenInMs > remainingMs) {
		return reject('first-token', firstTokenInMs - remainingMs);
	}

	return admitDecode(endpoints, request, remainingMs - firstTokenInMs) ?? {accepted: true, firstTokenInMs};
};
