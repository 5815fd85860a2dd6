/**
 * The limits that endpoints name in their answers, and what the entries tell each other of them. The limit belongs to a process: it is kept while the process
 * registers again or changes its role, and a later start of the endpoint begins without it.
 */
import {
	EndpointRateLimit, type Clock, type EndpointId, type EntryPosition, type RateChange, type RateShares, type RegisteredEndpoint, type ServiceDemand,
} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {AnswerHead} from '../ports.js';
import type {AnsweredCall} from './endpoint-answer.js';
import type {EndpointPool} from './endpoint-pool.js';
import type {EndpointProcess} from './leaving-processes.js';

/** What a process says of its limit, as entries tell it to each other. */
export type ToldLimit = EndpointProcess & {
	/** Requests a second; undefined if it names no limit any more. */
	readonly perSecond: number | undefined;
	/** Time since the first entry read it. */
	readonly ageMs: number;
};

/** News of limits in a message. */
export type LimitNews = {
	readonly limits: readonly ToldLimit[];
	/** The sender's demand for the services of these endpoints. */
	readonly demands: readonly ServiceDemand[];
};

/** Limits that leave room for the load in a datagram. The others follow with the next messages. */
const maxPerMessage = 8;
/** Every peer in touch has learned of the end of a limit by then. */
const toldAfterEndMs = 5000;
/** A limit that no answer has confirmed for longer may have ended, so it is told no longer. */
const maxAgeMs = 30_000;
/** A faulty endpoint may send another value with each answer. */
const minLogIntervalMs = 1000;
/** With more limits of processes that are gone, these are dropped. */
const maxForgotten = 1000;

export type RateLimitsOptions = {
	readonly clock: Clock;
	/** Position of this entry among the live ones. */
	readonly position: () => EntryPosition;
	readonly shares: RateShares;
	readonly pool: () => Pick<EndpointPool, 'get' | 'withdrawWaiting'>;
	readonly log: Pick<DecisionLog, 'write'>;
	readonly metrics: Pick<ForwardMetrics, 'countInvalidRateLimit' | 'countRateLimit'>;
};

const phaseOf = ({index, count}: EntryPosition): number => index / count;

type ProcessLimit = EndpointProcess & {readonly service: string; readonly limit: EndpointRateLimit; lastLogMs: number};

export class RateLimits {
	readonly #options: RateLimitsOptions;
	readonly #byId = new Map<EndpointId, ProcessLimit>();
	#lastInvalidLogMs = Number.NEGATIVE_INFINITY;
	/** Limits told so far; each message begins with those that were not in the last one. */
	#told = 0;

	constructor(options: RateLimitsOptions) {
		this.#options = options;
	}

	/** The limit of a process: the one that it has named before, or a new one without a statement. */
	limitOf({id, startedAt, service}: RegisteredEndpoint): EndpointRateLimit {
		const known = this.#byId.get(id);
		if (known && known.startedAt >= startedAt) {
			return known.limit;
		}

		this.#forget();
		const {shares, position} = this.#options;
		const limit = new EndpointRateLimit({share: () => shares.share(service), phase: () => phaseOf(position())});
		this.#byId.set(id, {
			id, startedAt, service, limit, lastLogMs: Number.NEGATIVE_INFINITY,
		});
		return limit;
	}

	/** Records what the head of an answer says. The caller has checked that it is of the process that was called. */
	recordAnswer({target: {endpoint}, requestId, askedMs}: AnsweredCall, {requestsPerSecond, invalidRateLimit, requestId: answeredId}: AnswerHead): void {
		if (invalidRateLimit !== undefined) {
			this.#recordInvalid(endpoint.id, {value: invalidRateLimit, requestId: answeredId});
			return;
		}

		// Answers to other calls, or without an id, may lack what the process says of itself, so they end no limit.
		const mayEnd = askedMs !== undefined && requestId !== undefined && answeredId === requestId;
		const known = this.#byId.get(endpoint.id);
		if (known?.startedAt !== endpoint.startedAt || (requestsPerSecond === undefined && !mayEnd)) {
			return;
		}

		const nowMs = this.#options.clock.nowMs();
		this.#reportChange(known, known.limit.recordAnswer({perSecond: requestsPerSecond, statedMs: nowMs, askedMs: askedMs ?? nowMs}), {source: 'answer', requestId});
	}

	/** What peers are to be told. */
	newsToSend(): LimitNews {
		const nowMs = this.#options.clock.nowMs();
		const due = [...this.#byId.values()].flatMap(known => this.#describe(known, nowMs));
		const begin = due.length > maxPerMessage ? this.#told % due.length : 0;
		const told = [...due.slice(begin), ...due.slice(0, begin)].slice(0, maxPerMessage);
		this.#told += told.length;
		const services = new Set(told.map(({id}) => this.#byId.get(id)!.service));
		return {
			limits: told,
			demands: [...services].map(service => ({service, perSecond: this.#options.shares.measureDemand(service)})),
		};
	}

	/** Applies what a peer has told. */
	applyNews(peer: string, {limits, demands}: LimitNews): void {
		this.#options.shares.recordPeer(peer, demands);
		const nowMs = this.#options.clock.nowMs();
		for (const {id, startedAt, perSecond, ageMs} of limits) {
			const known = this.#byId.get(id);
			if (known?.startedAt === startedAt) {
				this.#reportChange(known, known.limit.recordHeard({perSecond, statedMs: nowMs - ageMs}, nowMs), {source: 'peer'});
			}
		}
	}

	#describe({id, startedAt, limit}: ProcessLimit, nowMs: number): ToldLimit[] {
		const {statement} = limit;
		if (!statement || nowMs - statement.statedMs > maxAgeMs) {
			return [];
		}

		// Most processes have never named a limit, which nobody needs to be told.
		const hasEnded = statement.perSecond === undefined;
		return hasEnded && (limit.endedMs === undefined || nowMs - limit.endedMs > toldAfterEndMs)
			? []
			: [{
				id, startedAt, perSecond: statement.perSecond, ageMs: nowMs - statement.statedMs,
			}];
	}

	#reportChange(known: ProcessLimit, change: RateChange | undefined, details: {readonly source: 'answer' | 'peer'; readonly requestId?: string}): void {
		if (change === undefined) {
			return;
		}

		const {clock, shares, pool, log, metrics} = this.#options;
		metrics.countRateLimit(change);
		const pooled = pool().get(known.id);
		if (change === 'began' && pooled) {
			// They were placed before the limit was known.
			pool().withdrawWaiting(pooled);
		}

		const nowMs = clock.nowMs();
		if (change === 'changed' && nowMs - known.lastLogMs < minLogIntervalMs) {
			return;
		}

		known.lastLogMs = nowMs;
		log.write('endpoint', {
			id: known.id,
			was: change === 'began' ? 'unlimited' : 'limited',
			is: change === 'ended' ? 'unlimited' : 'limited',
			perSecond: known.limit.statement?.perSecond,
			share: shares.share(known.service),
			...details,
		});
	}

	#recordInvalid(endpoint: EndpointId, {value, requestId}: {readonly value: string; readonly requestId: string | undefined}): void {
		const {clock, log, metrics} = this.#options;
		metrics.countInvalidRateLimit();
		const nowMs = clock.nowMs();
		if (nowMs - this.#lastInvalidLogMs >= minLogIntervalMs) {
			this.#lastInvalidLogMs = nowMs;
			log.write('error', {
				what: 'reading a rate limit', endpoint, requestId, value,
			});
		}
	}

	#forget(): void {
		if (this.#byId.size < maxForgotten) {
			return;
		}

		for (const id of this.#byId.keys()) {
			if (!this.#options.pool().get(id)) {
				this.#byId.delete(id);
			}
		}
	}
}
