/**
 * Decides which model request runs next at the engine. It owns the fair queue, the set of running requests and the
 * measured rates; it sends nothing itself.
 */
import {
	addRateSample,
	decideQueueing,
	estimateWork,
	FairQueue,
	initialRates,
	agentSlots,
	toEngineRates,
	type EngineOrderRole,
	type MeasuredRates,
	type QueueDecision,
	type WorkEstimate,
} from '@hawthorncleat/core';
import type {FrameEnd, RequestStartParams} from '@hawthorncleat/schema';
import {RunningMeter} from './running-meter.js';
import type {RequestKind, Stream} from './stream.js';

export type SchedulerLimits = {readonly maxRunning: number; readonly maxWaitingTokens: number};

const totalTokens = ({prefillTokens, decodeTokens}: WorkEstimate): number => prefillTokens + decodeTokens;

// Averages are no better than that, and each digit is sent with each report.
const rateDigits = 3;

const roundRate = (rate: number): number => Number(rate.toPrecision(rateDigits));

/** The queue of one engine. */
export class RequestScheduler {
	readonly running = new Set<Stream>();
	readonly #queue: FairQueue<Stream>;
	#waiting: WorkEstimate = {prefillTokens: 0, decodeTokens: 0};
	#rates: MeasuredRates = initialRates;

	readonly #meter = new RunningMeter();

	constructor(private readonly limits: SchedulerLimits, private readonly role: () => EngineOrderRole) {
		this.#queue = new FairQueue({maxTokens: limits.maxWaitingTokens});
	}

	get waitingCount(): number {
		return this.#queue.size;
	}

	get waitingTokens(): number {
		return this.#queue.waitingTokens;
	}

	/** Prompt tokens that wait. Entries estimate the time until a first token from them. */
	get waitingPromptTokens(): number {
		return this.#waiting.prefillTokens;
	}

	/** What the engine has shown so far, for the estimates of entries; nothing before the first sample. */
	get measuredRates(): {prefillTokensPerSecond?: number; stepMs?: number; stepMsPerRequest?: number} {
		const {prefillTokens, prefillMs, step} = this.#rates;
		const rates = toEngineRates(this.#rates, this.limits.maxRunning);
		return {
			...(rates && prefillTokens && prefillMs && {prefillTokensPerSecond: roundRate(rates.prefillTokensPerSecond)}),
			// A prefill engine decodes nothing.
			...(rates && step && {stepMs: roundRate(rates.stepMs), stepMsPerRequest: roundRate(rates.stepMsPerRequest)}),
		};
	}

	/** Requests that run at a time: as many as keep the pace. */
	get #places(): number {
		return agentSlots({role: this.role(), maxRunning: this.limits.maxRunning, rates: this.#rates});
	}

	get isIdle(): boolean {
		return this.running.size === 0 && this.#queue.size === 0;
	}

	estimate({prompt, delivered, maxTokens, kv}: RequestStartParams, kind: RequestKind): WorkEstimate {
		const deliveredCharacters = delivered.reduce((sum, token) => sum + token.length, 0);
		const work = estimateWork(this.#rates, prompt.length + deliveredCharacters, maxTokens);
		return {
			prefillTokens: kv ? 0 : work.prefillTokens,
			decodeTokens: kind === 'prefill' ? 0 : work.decodeTokens,
		};
	}

	/** Decides on a new request of the account. */
	decide(work: WorkEstimate, {clientAccount, priority, firstTokenInMs}: RequestStartParams): QueueDecision {
		const ahead = this.#queue.itemsAhead(clientAccount, priority);
		return decideQueueing({
			role: this.role(),
			running: this.running.size,
			maxRunning: this.limits.maxRunning,
			hasCapacity: this.#queue.hasCapacity(totalTokens(work)),
			waiting: this.#queue.size,
			ahead: {
				requests: ahead.length,
				promptTokens: ahead.reduce((sum, stream) => sum + stream.work.prefillTokens, 0),
			},
			rates: this.#rates,
		}, work, firstTokenInMs);
	}

	add(stream: Stream): void {
		const {clientAccount, weight, priority} = stream.params;
		this.#count(stream.work, 1);
		this.#queue.push({
			account: clientAccount, weight, priority, tokens: totalTokens(stream.work), item: stream,
		});
	}

	/** Removes a request that waits. Returns whether it did. */
	removeWaiting(stream: Stream): boolean {
		const removed = this.#queue.remove(stream.params.clientAccount, stream);
		if (removed) {
			this.#count(stream.work, -1);
		}

		return removed;
	}

	/** Removes all requests that wait. */
	clearWaiting(): Stream[] {
		this.#waiting = {prefillTokens: 0, decodeTokens: 0};
		return this.#queue.clear();
	}

	/** Takes the next request to run, if there is a place. A suspect never runs together with another suspect. */
	takeNext(nowMs: number): Stream | undefined {
		if (this.running.size >= this.#places) {
			return undefined;
		}

		const hasSuspect = [...this.running].some(stream => stream.isSuspect);
		const next = this.#queue.pop(stream => !(hasSuspect && stream.isSuspect));
		if (next) {
			this.#count(next.work, -1);
			this.#meter.change(this.running.size, nowMs);
			this.running.add(next);
		}

		return next;
	}

	/** Notes that tokens of a request have arrived, or that a prefill has ended. */
	noteTokens(stream: Stream, count: number, nowMs: number): void {
		this.#meter.change(this.running.size, nowMs);
		if (stream.firstTokenMs === undefined) {
			stream.firstTokenMs = nowMs;
			stream.firstTokens = count;
			stream.runningMsAtFirstToken = this.#meter.runningMs;
		}

		stream.lastTokenMs = nowMs;
		stream.runningMsAtLastToken = this.#meter.runningMs;
	}

	/** Frees the place of a request; one that reached its end gives a sample of the engine's rates. */
	finish(stream: Stream, nowMs: number): void {
		const sharedBy = Math.max(1, this.running.size);
		this.#meter.change(this.running.size, nowMs);
		if (!this.running.delete(stream)) {
			return;
		}

		const {outcome, params, work} = stream;
		const end = outcome && 'end' in outcome ? outcome.end : undefined;
		if (end) {
			this.#measure(stream, end, sharedBy);
		}

		const prefillTokens = end ? Math.max(0, end.promptTokens - end.cachedTokens) : work.prefillTokens;
		this.#queue.adjustCharge(params.clientAccount, params.weight, prefillTokens + stream.tokenCount - totalTokens(work));
	}

	#measure(stream: Stream, end: FrameEnd, sharedBy: number): void {
		const {startedMs, firstTokenMs, promptCharacters, tokenCount, firstTokens, lastTokenMs} = stream;
		if (startedMs === undefined || firstTokenMs === undefined) {
			return;
		}

		// The end may come later than the last token, which would make short answers look slow.
		const decodeMs = lastTokenMs - firstTokenMs;
		const step = tokenCount > firstTokens && decodeMs > 0 && !stream.wasHeldBack && {
			running: (stream.runningMsAtLastToken - stream.runningMsAtFirstToken) / decodeMs,
			stepMs: decodeMs / (tokenCount - firstTokens),
		};
		this.#rates = addRateSample(this.#rates, {
			promptCharacters,
			promptTokens: end.promptTokens,
			cachedTokens: end.cachedTokens,
			outputTokens: tokenCount,
			prefillMs: (firstTokenMs - startedMs) / sharedBy,
			...(step && {step}),
		});
	}

	#count(work: WorkEstimate, sign: 1 | -1): void {
		this.#waiting = {
			prefillTokens: this.#waiting.prefillTokens + (sign * work.prefillTokens),
			decodeTokens: this.#waiting.decodeTokens + (sign * work.decodeTokens),
		};
	}
}
