/**
 * Measures whether the entry takes its callers' connections in time. Node.js accepts one connection in each turn of the event loop, so connections wait in
 * the listening queue while turns are long. How long each one has waited cannot be read without privileges. As long as each turn accepts a connection, the
 * queue may not have been empty; that time is an upper bound of the wait, and needs no connection of the entry to itself.
 */
import {performance} from 'node:perf_hooks';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';

/** The log line is written at most this often. */
const logIntervalMs = 1000;
/** Callers give up a connection on which nothing is read for a second. */
const maxRunMs = 500;
const msPerSecond = 1000;
/** The rate of accepted connections is measured over this time. */
const rateWindowMs = 500;
/** Once connections have waited, the rate stays in force for this time after the last one. */
const rateHoldMs = 1000;
/** A burst of a few connections is accepted in less. */
const waitingRunMs = 50;

export type AcceptCounts = {
	/** Turns of the event loop since the start. */
	turns: number;
	accepted: number;
	/** Requests whose caller had left before they were served. */
	left: number;
};

type RateSample = {readonly atMs: number; readonly accepted: number};

export type AcceptMonitorOptions = {
	readonly nowMs: () => number;
	readonly log: DecisionLog;
	readonly metrics: ForwardMetrics;
	/** Turns of the event loop since the start. */
	readonly turns?: () => number;
};

export class AcceptMonitor {
	readonly #options: AcceptMonitorOptions;
	readonly #turns: () => number;
	readonly #counts: Omit<AcceptCounts, 'turns'> = {accepted: 0, left: 0};
	#logged: AcceptCounts;
	#loggedMs: number;
	#samples: RateSample[] = [];
	#waitingRate: {readonly perSecond: number; readonly atMs: number} | undefined;
	#lastAcceptTurn = Number.NEGATIVE_INFINITY;
	#runStartMs = 0;
	/** Longest run since the last log line. */
	#longestRunMs = 0;

	constructor(options: AcceptMonitorOptions) {
		this.#options = options;
		this.#turns = options.turns ?? (() => performance.nodeTiming.uvMetricsInfo.loopCount);
		this.#logged = this.counts;
		this.#loggedMs = options.nowMs();
	}

	get counts(): AcceptCounts {
		return {turns: this.#turns(), ...this.#counts};
	}

	/** Time for which each turn has accepted a connection; 0 if the last turn accepted none. */
	get runMs(): number {
		return this.#turns() - this.#lastAcceptTurn > 1 ? 0 : this.#options.nowMs() - this.#runStartMs;
	}

	/** Connections accepted a second while connections waited, up to a second ago; undefined if none waited. */
	get waitingRate(): number | undefined {
		return this.#waitingRate?.perSecond;
	}

	recordAccept(): void {
		const turn = this.#turns();
		const nowMs = this.#options.nowMs();
		this.#counts.accepted += 1;
		this.#options.metrics.countAccepted();
		if (turn - this.#lastAcceptTurn > 1) {
			this.#runStartMs = nowMs;
		}

		this.#lastAcceptTurn = turn;
		this.#longestRunMs = Math.max(this.#longestRunMs, nowMs - this.#runStartMs);
	}

	recordLeft(): void {
		this.#counts.left += 1;
		this.#options.metrics.countLeft();
	}

	/** Measures the rate of accepted connections. Writes a log line if requests were lost to the wait or may be, and the last line is old enough. */
	check(): void {
		this.#measureRate();
		const nowMs = this.#options.nowMs();
		const overMs = nowMs - this.#loggedMs;
		if (overMs < logIntervalMs) {
			return;
		}

		const {counts} = this;
		const left = counts.left - this.#logged.left;
		if (left > 0 || this.#longestRunMs > maxRunMs) {
			this.#options.log.write('accept', {
				overMs: Math.round(overMs),
				turns: counts.turns - this.#logged.turns,
				accepted: counts.accepted - this.#logged.accepted,
				left,
				runMs: Math.round(this.#longestRunMs),
			});
		}

		this.#logged = counts;
		this.#loggedMs = nowMs;
		this.#longestRunMs = 0;
	}

	#measureRate(): void {
		const nowMs = this.#options.nowMs();
		const {accepted} = this.#counts;
		// Connections that came while none waited say nothing of the rate that the entry can reach.
		this.#samples = this.runMs > waitingRunMs ? [...this.#samples.filter(({atMs}) => nowMs - atMs <= rateWindowMs), {atMs: nowMs, accepted}] : [];
		const [first] = this.#samples;
		if (first && nowMs > first.atMs) {
			this.#waitingRate = {perSecond: (accepted - first.accepted) * msPerSecond / (nowMs - first.atMs), atMs: nowMs};
		} else if (nowMs - (this.#waitingRate?.atMs ?? nowMs) > rateHoldMs) {
			this.#waitingRate = undefined;
		}
	}
}
