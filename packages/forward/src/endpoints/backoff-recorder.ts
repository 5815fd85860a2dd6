/**
 * Records for how long endpoints want no requests, as the heads of their answers state it.
 */
import {maxBackoffMs, type Clock, type Random} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {AnswerHead} from '../ports.js';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';

/** One faulty endpoint can send an unreadable time with each answer. */
const minLogIntervalMs = 1000;

export type BackoffRecorderOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly pool: Pick<EndpointPool, 'withdrawWaiting'>;
	readonly log: Pick<DecisionLog, 'write'>;
	readonly metrics: Pick<ForwardMetrics, 'countBackoff' | 'countInvalidRetryAfter'>;
};

export class BackoffRecorder {
	readonly #options: BackoffRecorderOptions;
	#lastLogMs = Number.NEGATIVE_INFINITY;

	constructor(options: BackoffRecorderOptions) {
		this.#options = options;
	}

	/** Records the head of an answer of this endpoint. The caller has checked that it belongs to the request. */
	record(target: PooledEndpoint, {retryAfterMs, invalidRetryAfter, requestId}: AnswerHead): void {
		if (invalidRetryAfter !== undefined) {
			this.#recordInvalid('unreadable', target, {value: invalidRetryAfter, requestId});
		}

		if (retryAfterMs === undefined) {
			return;
		}

		if (retryAfterMs > maxBackoffMs) {
			this.#recordInvalid('too-long', target, {value: String(retryAfterMs / 1000), requestId});
		}

		const {clock, random, pool, log, metrics} = this.#options;
		const nowMs = clock.nowMs();
		if (target.backoff.record(retryAfterMs, nowMs, random)) {
			pool.withdrawWaiting(target);
			metrics.countBackoff();
			log.write('endpoint', {
				id: target.endpoint.id, was: 'accepting', is: 'backoff', requestId, forMs: Math.round(target.backoff.remainingMs(nowMs)),
			});
		}
	}

	#recordInvalid(problem: 'too-long' | 'unreadable', {endpoint}: PooledEndpoint, {value, requestId}: {readonly value: string; readonly requestId: string | undefined}): void {
		const {clock, log, metrics} = this.#options;
		metrics.countInvalidRetryAfter(problem);
		if (clock.nowMs() - this.#lastLogMs < minLogIntervalMs) {
			return;
		}

		this.#lastLogMs = clock.nowMs();
		log.write('error', {
			what: 'reading a retry delay', problem, endpoint: endpoint.id, requestId, value,
		});
	}
}
