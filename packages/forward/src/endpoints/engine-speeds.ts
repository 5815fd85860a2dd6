/**
 * Measured speeds of engines, shared between entries. One entry sees few prefills and streams of each engine, so by itself it would learn only
 * after a minute that an engine is slow, and fill it until then. Each entry applies the measurements of all others to its own latency models.
 */
import type {ObservedStream, PrefillSize} from '@hawthorncleat/core';
import {isAmount, isText} from '../utils/value-checks.js';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';

/** One completed prefill: its work, the pending work that was expected ahead of it, and the time that both took. */
export type MeasuredPrefill = {readonly size: PrefillSize; readonly aheadMs: number; readonly tookMs: number};

export type MeasuredSpeed = {readonly endpoint: string} & (
	| {readonly kind: 'prefill'; readonly prefill: MeasuredPrefill}
	| {readonly kind: 'stream'; readonly stream: Required<ObservedStream>}
);

/** Newest measurements that are kept for the next message. They are samples, so the loss of older ones costs little. */
const maxKept = 12;

const observePrefill = ({prefillLatency}: PooledEndpoint, {size, aheadMs, tookMs}: MeasuredPrefill): void => {
	const ownMs = prefillLatency.prefillMs(size);
	prefillLatency.observe({
		expectedMs: aheadMs + ownMs, ownMs, tookMs, size,
	});
};

export class EngineSpeeds {
	readonly #pool: Pick<EndpointPool, 'get'>;
	#latest: MeasuredSpeed[] = [];

	constructor(pool: Pick<EndpointPool, 'get'>) {
		this.#pool = pool;
	}

	/** Applies a prefill of this entry. `waitMs` is the pending work that was expected, including its own. */
	recordPrefill(engine: PooledEndpoint, {size, waitMs, tookMs}: {readonly size: PrefillSize; readonly waitMs: number; readonly tookMs: number}): void {
		const prefill = {size, tookMs, aheadMs: Math.max(0, waitMs - engine.prefillLatency.prefillMs(size))};
		observePrefill(engine, prefill);
		this.#keep({endpoint: engine.endpoint.id, kind: 'prefill', prefill});
	}

	/** Applies a stream of this entry. */
	recordStream(engine: PooledEndpoint, stream: Required<ObservedStream>): void {
		engine.decodeLatency.observe(stream);
		this.#keep({endpoint: engine.endpoint.id, kind: 'stream', stream});
	}

	/** Returns the measurements since the last call. */
	drain(): MeasuredSpeed[] {
		const latest = this.#latest;
		this.#latest = [];
		return latest;
	}

	/** Applies the measurements of another entry. */
	apply(measured: readonly MeasuredSpeed[]): void {
		for (const speed of measured) {
			const engine = this.#pool.get(speed.endpoint);
			if (engine && speed.kind === 'prefill') {
				observePrefill(engine, speed.prefill);
			} else if (engine && speed.kind === 'stream') {
				engine.decodeLatency.observe(speed.stream);
			}
		}
	}

	#keep(speed: MeasuredSpeed): void {
		this.#latest = keepNewest([...this.#latest, speed]);
	}
}

export const keepNewest = (speeds: readonly MeasuredSpeed[]): MeasuredSpeed[] => speeds.slice(-maxKept);

const loadDigits = 100;
/** More tokens or milliseconds than any request has; sums of larger values would lose the others. */
const maxMeasured = 1e9;

const isMeasured = (value: unknown): value is number => isAmount(value) && value <= maxMeasured;

export const encodeSpeed = (speed: MeasuredSpeed): readonly unknown[] => {
	if (speed.kind === 'prefill') {
		const {size, aheadMs, tookMs} = speed.prefill;
		return [speed.endpoint, 'prefill', Math.round(size.uncachedTokens), Math.round(size.cachedTokens), Math.round(aheadMs), Math.round(tookMs)];
	}

	const {tookMs, tokens, answerTokens, load} = speed.stream;
	return [speed.endpoint, 'stream', Math.round(tookMs), Math.round(tokens), Math.round(answerTokens), Math.round(load * loadDigits) / loadDigits];
};

export const decodeSpeed = ([endpoint, kind, a, b, c, d]: readonly unknown[]): MeasuredSpeed | undefined => {
	if (!isText(endpoint) || !isMeasured(a) || !isMeasured(b) || !isMeasured(c) || !isMeasured(d)) {
		return undefined;
	}

	if (kind === 'prefill') {
		return {endpoint, kind, prefill: {size: {uncachedTokens: a, cachedTokens: b}, aheadMs: c, tookMs: d}};
	}

	return kind === 'stream'
		? {
			endpoint, kind, stream: {
				tookMs: a, tokens: b, answerTokens: c, load: Math.min(1, d),
			},
		}
		: undefined;
};
