/**
 * Measures the demand of a service on each role, in engines that it would keep busy: prompts by the tokens and the attention that they cost a prefill
 * engine, streams by the tokens that callers request and by the streams that run.
 */
import {
	engineLoad, type EndpointRole, type RoleBalance, type TokenRate,
} from '@hawthorncleat/core';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';

/** Use of the decode engines, kept from one measurement to the next. */
export type DecodeUsage = {
	/** When the engines were last idle. */
	lastIdleMs: number;
	/** Decode engines that the streams have filled since, as a moving average. */
	filledEngines?: number;
};

export type RoleDemandInput = {
	readonly nowMs: number;
	/** Engines of the service that take work. */
	readonly engines: readonly PooledEndpoint[];
	/** The role to which an engine is changing. */
	readonly newRoleOf: (engine: PooledEndpoint) => EndpointRole | undefined;
	readonly demand: TokenRate;
	/** Tokens of KV cache that fit into an engine. */
	readonly kvTokens: number;
};

const msPerSecond = 1000;
/** A decode engine prefills at this fraction of the speed of a prefill engine. */
const decodePrefillSpeed = 0.5;
/** Weight of the earlier values in the moving average of the filled decode engines; it spans the time of a long stream. */
const filledEnginesDecay = 0.93;
/** After an idle time it takes this long until as many streams run as the demand leads to. */
const fillingMs = 10_000;
/**
 * Callers overstate the lengths of their answers, and the time per token at full load is extrapolated, so the running streams limit what counts as
 * requested. Rejected streams do not run, so with more rejections than this the running ones say little.
 */
const maxRejectedFraction = 0.05;
/** Squared coefficient of variation of the lengths of answers; 1 is that of an exponential distribution. */
const streamVariation = 1;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Work of the prompts of one second on a prefill engine. */
const prefillMsPerSecond = (engines: readonly PooledEndpoint[], demand: TokenRate): number => {
	const prefillEngines = engines.filter(({endpoint}) => endpoint.role === 'prefill');
	const speed = prefillEngines.length > 0 ? 1 : decodePrefillSpeed;
	const work = {tokens: demand.promptTokensPerSecond, pairs: demand.millionPairsPerSecond};
	return mean((prefillEngines.length > 0 ? prefillEngines : engines).map(({prefillLatency}) => prefillLatency.workMs(work))) * speed;
};

/**
 * Decode engines that the running streams would fill at the present rate of tokens. A stream takes longer on a fuller engine, so half the engines
 * would run more than twice the streams each.
 */
const countFilledEngines = (engines: readonly PooledEndpoint[], kvTokens: number): number => {
	let filled = 0;
	for (const {endpoint, decodeLatency, running, runningTokens} of engines) {
		const load = engineLoad({
			running, tokens: runningTokens, slots: endpoint.slots, kvTokens,
		});
		filled += load * decodeLatency.msPerToken(1) / Math.max(Number.EPSILON, decodeLatency.msPerToken(Math.min(1, load)));
	}

	return filled;
};

/** Updates the use of the decode engines. */
const updateUsage = (usage: DecodeUsage, filledEngines: number, {isIdle, nowMs}: {readonly isIdle: boolean; readonly nowMs: number}): void => {
	if (isIdle) {
		usage.lastIdleMs = nowMs;
		usage.filledEngines = undefined;
		return;
	}

	usage.filledEngines = filledEngines + (filledEnginesDecay * ((usage.filledEngines ?? filledEngines) - filledEngines));
};

/** Engines of a role that are lost to the limits that some of them name, given the time for which one request occupies an engine. */
const countLimitedAway = (engines: readonly PooledEndpoint[], serviceMs: number): number => {
	let away = 0;
	for (const {rateLimit} of engines) {
		const perSecond = rateLimit.statement?.perSecond ?? Number.POSITIVE_INFINITY;
		away += 1 - Math.min(1, perSecond * serviceMs / msPerSecond);
	}

	return away;
};

/** Measures the demand on both roles and the present division; updates `usage`. */
export const measureRoleBalance = ({nowMs, engines, newRoleOf, demand, kvTokens}: RoleDemandInput, usage: DecodeUsage): RoleBalance => {
	const roles = engines.map(engine => newRoleOf(engine) ?? engine.endpoint.role);
	const decodeEngines = engines.filter(({endpoint}) => endpoint.role === 'decode');
	const running = engines.reduce((sum, engine) => sum + engine.running, 0);
	const isIdle = running === 0 && demand.promptTokensPerSecond === 0;
	const promptMs = prefillMsPerSecond(engines, demand);
	const tokensPerMsAtFullLoad = mean(decodeEngines.map(({endpoint, decodeLatency}) => endpoint.slots / Math.max(Number.EPSILON, decodeLatency.msPerToken(1))));
	const requestedEngines = tokensPerMsAtFullLoad === 0 ? 0 : demand.outputTokensPerSecond / msPerSecond / tokensPerMsAtFullLoad;
	updateUsage(usage, countFilledEngines(decodeEngines, kvTokens), {isIdle, nowMs});
	const isFilling = nowMs - usage.lastIdleMs < fillingMs;
	const hasDemand = demand.requestsPerSecond > 0 && tokensPerMsAtFullLoad > 0;
	const promptServiceMs = promptMs / demand.requestsPerSecond;
	const streamServiceMs = demand.outputTokensPerSecond / demand.requestsPerSecond / tokensPerMsAtFullLoad;
	const ofRole = (role: EndpointRole): PooledEndpoint[] => engines.filter((_, index) => roles[index] === role);
	const awayOf = (role: EndpointRole, serviceMs: number): number => hasDemand ? countLimitedAway(ofRole(role), serviceMs) : 0;
	const decodeNeeded = isFilling || demand.rejectedFraction > maxRejectedFraction ? requestedEngines : Math.min(requestedEngines, usage.filledEngines ?? 0);
	return {
		nowMs,
		prefill: ofRole('prefill').length,
		decode: ofRole('decode').length,
		prefillNeeded: (promptMs / msPerSecond) + awayOf('prefill', promptServiceMs),
		decodeNeeded: decodeNeeded + awayOf('decode', streamServiceMs),
		isIdle,
		isFilling,
		...hasDemand && {
			prompts: {serviceMs: promptServiceMs, squaredVariation: demand.promptVariation},
			streams: {serviceMs: streamServiceMs, squaredVariation: streamVariation},
		},
	};
};
