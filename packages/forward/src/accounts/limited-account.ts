/**
 * A client account with a limit: the limit as this entry keeps it, the cost of a request, and when those that were refused should come back.
 */
import type {AccountLimit, ForwardAccountLimit, Random} from '@hawthorncleat/core';
import type {CallerRequest} from '../ports.js';

/** An account is told to the others for this time after its last request. */
const toldAfterRequestMs = 5000;
/** Unchanged figures are repeated after this time, because messages get lost and demands lapse. */
const repeatMs = 1000;
/** Callers that come back earlier only add load. */
const minRetryMs = 20;
const logIntervalMs = 1000;

type LastTold = {readonly spent: number; readonly atMs: number};

const neverTold: LastTold = {spent: 0, atMs: Number.NEGATIVE_INFINITY};

export class LimitedAccount {
	/** What the operator has set; undefined after the limit was taken away. */
	settings: ForwardAccountLimit | undefined;
	readonly limit: AccountLimit;
	#lastRequestMs = Number.NEGATIVE_INFINITY;
	#lastLogMs = Number.NEGATIVE_INFINITY;
	/** When the next request that is refused should come back. */
	#nextPlaceMs = 0;
	/** What each group of peers was last told. */
	readonly #told = new Map<string, LastTold>();

	constructor(limit: AccountLimit, settings: ForwardAccountLimit) {
		this.limit = limit;
		this.settings = settings;
	}

	/** Units of the limit that a request costs. */
	costOf({hasTokenCount, promptTokens, maxOutputTokens}: CallerRequest): number {
		if (this.settings?.unit !== 'tokens') {
			return 1;
		}

		return hasTokenCount ? promptTokens + maxOutputTokens : this.settings.tokensWithoutCount;
	}

	recordRequest(nowMs: number): void {
		this.#lastRequestMs = nowMs;
	}

	/** Whether the peers have to be told of the account now. */
	isDue(receivers: string, nowMs: number): boolean {
		const {spent, atMs} = this.#told.get(receivers) ?? neverTold;
		const hasNews = spent !== this.limit.spent || nowMs - atMs >= repeatMs;
		return this.settings !== undefined && nowMs - this.#lastRequestMs <= toldAfterRequestMs && hasNews;
	}

	/** Units spent that the peers have not been told of. */
	untold(receivers: string): number {
		return Math.abs(this.limit.spent - (this.#told.get(receivers) ?? neverTold).spent);
	}

	/** Time of the last news for the peers. */
	toldMs(receivers: string): number {
		return (this.#told.get(receivers) ?? neverTold).atMs;
	}

	recordTold(receivers: string, nowMs: number): void {
		this.#told.set(receivers, {spent: this.limit.spent, atMs: nowMs});
	}

	/**
	 * Retry delay of a request that is refused. Those refused come back one after the other, as fast as this entry may admit them, and none later than
	 * its caller allows.
	 */
	scheduleRetry(cost: number, {nowMs, maxMs, random}: {readonly nowMs: number; readonly maxMs: number; readonly random: Random}): number {
		const placeMs = Math.max(nowMs + this.limit.remainingMs(nowMs), this.#nextPlaceMs);
		const paceMs = this.limit.paceMs(cost, nowMs);
		this.#nextPlaceMs = Math.min(placeMs + paceMs, nowMs + maxMs);
		const delayMs = placeMs - nowMs + (random() * Math.min(paceMs, maxMs));
		// Beyond what the caller allows, the exact place is lost anyway, but not all may come back at the end.
		return delayMs <= maxMs ? Math.max(minRetryMs, delayMs) : maxMs * (1 + random()) / 2;
	}

	/** Whether a refusal may be logged: one line a second. */
	mayLog(nowMs: number): boolean {
		const mayLog = nowMs - this.#lastLogMs >= logIntervalMs;
		this.#lastLogMs = mayLog ? nowMs : this.#lastLogMs;
		return mayLog;
	}
}
