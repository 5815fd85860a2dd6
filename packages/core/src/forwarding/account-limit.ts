/**
 * The limit of a client account as one entry keeps it: a token bucket for the whole fleet, estimated from what this entry spends and what the others tell
 * of their spending. While the bucket holds enough, a request is admitted at once, wherever it arrives. While it is nearly empty, each entry admits from a
 * share of its refill, by demand, so that what the entries do not know of each other yet does not add up. Entries that are not in touch keep an equal part
 * of rate and burst each, so the parts of a fleet that is cut in two add up to the limit, too.
 */
import type {Random} from '../clock.js';
import type {ForwardAccountLimit} from './deployment.js';
import type {RateShares} from './rate-shares.js';

export type AccountRate = Pick<ForwardAccountLimit, 'burst' | 'perSecond'>;

/** What this entry knows of the fleet. */
export type FleetPart = {
	/** Number of entries that share the limit. */
	readonly entries: number;
	/** Number of those that are in touch, including this one. */
	readonly inTouch: number;
};

/** What a peer has spent of the limit. */
export type ToldSpending = {
	/** Differs after a restart of the peer, which begins at 0. */
	readonly incarnation: number;
	/** Units since its start. A sum survives the loss of messages. */
	readonly spent: number;
	/** What its callers ask for, in units a second. */
	readonly perSecond: number;
};

/** What decides now, for the log. */
export type AccountLimitState = FleetPart & {
	readonly level: number;
	/** Units that the others may have spent since they last told. */
	readonly unseen: number;
	readonly share: number;
	readonly credit: number;
};

export type AccountLimitOptions = {
	readonly name: string;
	readonly shares: Pick<RateShares, 'ownDemand' | 'recentlyTold' | 'shareAmongTold'>;
	readonly fleet: () => FleetPart;
	readonly random: Random;
	/** Units that this entry has spent before; 0 by default. */
	readonly spent?: number;
};

/** A difference between the bucket and empty is evened out over this time, several times as long as news takes. */
const correctionMs = 1000;
/** More debt than the refill of this time is forgiven: spending behind a cut that has ended would stop the account for as long. */
const maxDebtMs = 2000;
/** The share follows the demand, which lasts for two seconds after a request, so the credit of an entry with few requests grows also between them. */
const creditIntervalMs = 250;
/** A peer that has told nothing for this time is forgotten. */
const peerRetentionMs = 600_000;
/** Any stock lets one request pass, so the least one only has to be above 0. */
const minStock = 1e-6;
/** A share may drop to almost nothing; the retry delay is bounded by the caller's time anyway. */
const maxDelayMs = 60_000;
const msPerSecond = 1000;

export class AccountLimit {
	readonly #options: AccountLimitOptions;
	readonly #told = new Map<string, ToldSpending & {readonly atMs: number}>();
	#rate: AccountRate;
	/** Units in the fleet's bucket, as far as this entry knows. A new entry brings none. */
	#level = 0;
	/** Units that this entry may take from its share of the refill. Negative after a request that was larger. */
	#credit = 0;
	#isTight = false;
	#spent: number;
	#updatedMs: number;
	#creditMs: number;
	#lastPart = 0;
	/** When the bucket began empty; never for one that was filled. */
	#emptySinceMs: number;

	constructor(options: AccountLimitOptions, rate: AccountRate, nowMs: number) {
		this.#options = options;
		this.#rate = rate;
		this.#updatedMs = nowMs;
		this.#creditMs = nowMs;
		this.#emptySinceMs = nowMs;
		this.#spent = options.spent ?? 0;
	}

	/** Fills the bucket, for a limit that begins while the entries know of each other. */
	fill(): void {
		this.#emptySinceMs = Number.NEGATIVE_INFINITY;
		this.#level = this.#rate.burst;
		this.#clampLevel();
	}

	/** Units that this entry has spent since its start. */
	get spent(): number {
		return this.#spent;
	}

	get rate(): AccountRate {
		return this.#rate;
	}

	/** Changes the limit. A lower burst cuts the bucket at once. */
	setRate(rate: AccountRate, nowMs: number): void {
		this.#refillLevel(nowMs);
		this.#rate = rate;
		this.#clampLevel();
	}

	/** Takes the cost of a request from the limit if there is room for it. */
	tryTake(cost: number, nowMs: number): boolean {
		this.#refill(nowMs);
		if (this.#available(nowMs) >= cost) {
			this.#isTight = false;
			this.#spend(cost);
			return true;
		}

		this.#enterTight(cost);
		if (this.#credit <= 0) {
			return false;
		}

		this.#credit -= cost;
		this.#spend(cost);
		return true;
	}

	/** Returns the cost of a request that has not run. */
	giveBack(cost: number): void {
		this.#spent -= cost;
		this.#level += cost;
		this.#clampLevel();
	}

	/** Charges more of a request than was taken, because it ran more than once. */
	charge(cost: number): void {
		this.#spend(cost);
	}

	/** Time until this entry's share has room for another request, as far as can be told now. */
	remainingMs(nowMs: number): number {
		this.#refill(nowMs);
		return Math.min(maxDelayMs, Math.max(0, -this.#credit) / this.#ownPerSecond(nowMs) * msPerSecond);
	}

	/** Time in which this entry's share admits a request of this cost. */
	paceMs(cost: number, nowMs: number): number {
		return Math.min(maxDelayMs, cost / this.#ownPerSecond(nowMs) * msPerSecond);
	}

	/** Records what a peer has told. */
	recordPeer(peer: string, told: ToldSpending, nowMs: number): void {
		this.#refillLevel(nowMs);
		if (nowMs - this.#creditMs >= creditIntervalMs) {
			this.#refill(nowMs);
		}

		const known = this.#told.get(peer);
		if (!known) {
			this.#forgetPeers(nowMs);
		}

		this.#told.set(peer, {...told, atMs: nowMs});
		if (known?.incarnation === told.incarnation) {
			this.#level -= told.spent - known.spent;
		} else if (known ?? nowMs - this.#emptySinceMs >= maxDebtMs) {
			// Of a peer not heard of before, only recent spending counts. What peers spent before this entry counted is no debt of its bucket, which was empty.
			this.#level -= Math.min(told.spent, told.perSecond * maxDebtMs / msPerSecond);
		}

		this.#clampLevel();
	}

	inspect(nowMs: number): AccountLimitState {
		const {shares, name, fleet} = this.#options;
		return {
			...fleet(),
			level: Math.round(this.#level),
			unseen: Math.round(this.#unseen(nowMs)),
			share: shares.shareAmongTold(name),
			credit: Math.round(this.#credit),
		};
	}

	/** Fraction of the limit of the entries in touch. */
	get #part(): number {
		const {entries, inTouch} = this.#options.fleet();
		return Math.min(1, inTouch / Math.max(1, entries));
	}

	#forgetPeers(nowMs: number): void {
		for (const [peer, {atMs}] of this.#told) {
			if (nowMs - atMs > peerRetentionMs) {
				this.#told.delete(peer);
			}
		}
	}

	#spend(cost: number): void {
		this.#spent += cost;
		this.#level -= cost;
	}

	/** Entries that turn to their shares at the same moment must not all admit one request at once, so each begins at another point of a request. */
	#enterTight(cost: number): void {
		if (!this.#isTight) {
			this.#isTight = true;
			// Each turn would add to the debt without a request that was admitted, so the debt of one request is the limit.
			this.#credit = Math.min(this.#credit, Math.max(-cost, this.#credit - (this.#options.random() * cost)));
		}
	}

	/** Units that the others may have spent since they last told: at their demand, but together at no more than the limit. */
	#unseen(nowMs: number): number {
		const {shares, name} = this.#options;
		const told = shares.recentlyTold(name);
		const demand = told.reduce((sum, {perSecond}) => sum + perSecond, shares.ownDemand(name));
		const admitted = Math.min(1, this.#rate.perSecond / demand);
		return told.reduce((sum, {perSecond, atMs}) => sum + (perSecond * admitted * (nowMs - atMs) / msPerSecond), 0);
	}

	#available(nowMs: number): number {
		return this.#level - this.#unseen(nowMs);
	}

	/** This entry's share of the refill. It is higher while the bucket fills and lower while it is overdrawn, so that the sum over time equals the limit. */
	#sharePerSecond(nowMs: number, available: number): number {
		const {shares, name} = this.#options;
		return shares.shareAmongTold(name) * Math.max(0, (this.#rate.perSecond * this.#part) + (available / correctionMs * msPerSecond));
	}

	#ownPerSecond(nowMs: number): number {
		return Math.max(Number.MIN_VALUE, this.#sharePerSecond(nowMs, this.#available(nowMs)));
	}

	#refillLevel(nowMs: number): void {
		const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
		this.#updatedMs = nowMs;
		const part = this.#part;
		if (part < this.#lastPart) {
			// Those who have fallen silent may have spent this until now; from now on they have parts of their own.
			this.#level -= this.#unseen(nowMs);
		}

		this.#lastPart = part;
		this.#level += this.#rate.perSecond * part * elapsedMs / msPerSecond;
		this.#clampLevel();
	}

	#refill(nowMs: number): void {
		this.#refillLevel(nowMs);
		const elapsedMs = Math.max(0, nowMs - this.#creditMs);
		this.#creditMs = nowMs;
		const available = this.#available(nowMs);
		const stock = Math.max(minStock, this.#options.shares.shareAmongTold(this.#options.name) * available);
		this.#credit = Math.min(stock, this.#credit + (this.#sharePerSecond(nowMs, available) * elapsedMs / msPerSecond));
	}

	#clampLevel(): void {
		const {perSecond, burst} = this.#rate;
		this.#level = Math.max(-perSecond * maxDebtMs / msPerSecond, Math.min(burst * this.#part, this.#level));
	}
}
