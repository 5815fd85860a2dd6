/**
 * Shares of the entries in limits that they keep together, by the demand of each entry's callers. An equal fraction for each would leave most of a limit
 * unused where callers come to a few entries only. Each entry tells its demand; the shares of entries that know the same demands add up to one. A key names
 * what is limited, a service or a client account, and the amounts are in the unit of its limit.
 */
import type {Clock} from '../clock.js';
import {SlidingSums} from './sliding-sums.js';

/** Demand is measured over this time: longer than a share of a second, shorter than a burst. */
const demandWindowMs = 2000;
const bucketCount = 10;
/** Demand of an entry without callers, in units a second. It keeps a share small that may be used at any moment. */
const minDemand = 0.01;
/** What a peer has told counts for this time; datagrams get lost. */
const toldMs = 3000;
/** While nothing is told to peers, the own demand is measured again after this time. */
const maxOwnAgeMs = 1500;
const msPerSecond = 1000;

/** Requests a second of the callers of one entry for a service. */
export type ServiceDemand = {readonly service: string; readonly perSecond: number};

export type RateSharesOptions = {
	readonly clock: Clock;
	/** Number of entries that share the limits. Those that have told no demand count as much as this one. */
	readonly entries: () => number;
};

/** The demand of an entry, in units a second, and when it was told. */
export type ToldDemand = {readonly perSecond: number; readonly atMs: number};

export class RateShares {
	readonly #options: RateSharesOptions;
	/** What this entry has last told. */
	readonly #own = new Map<string, ToldDemand>();
	readonly #requested = new Map<string, SlidingSums<'amount'>>();
	/** Demands that peers have told, by key and peer. */
	readonly #told = new Map<string, Map<string, ToldDemand>>();

	constructor(options: RateSharesOptions) {
		this.#options = options;
	}

	/** Records the amount that a request of a caller asks for. */
	recordRequest(key: string, amount = 1): void {
		const requested = this.#requested.get(key) ?? new SlidingSums({windowMs: demandWindowMs, buckets: bucketCount, names: ['amount']});
		this.#requested.set(key, requested);
		requested.add(this.#options.clock.nowMs(), {amount});
	}

	/** Measures what this entry's own callers ask for, in units a second, to be told to the others. */
	measureDemand(key: string): number {
		const nowMs = this.#options.clock.nowMs();
		const amount = this.#requested.get(key)?.totals(nowMs).amount ?? 0;
		const perSecond = Math.max(minDemand, amount / demandWindowMs * msPerSecond);
		this.#own.set(key, {perSecond, atMs: nowMs});
		return perSecond;
	}

	/** Records what a peer has told of services. */
	recordPeer(peer: string, demands: readonly ServiceDemand[]): void {
		for (const {service, perSecond} of demands) {
			this.recordPeerDemand(peer, service, perSecond);
		}
	}

	/** Records the demand for one key that a peer has told. */
	recordPeerDemand(peer: string, key: string, perSecond: number): void {
		const told = this.#told.get(key) ?? new Map<string, ToldDemand>();
		this.#told.set(key, told);
		told.set(peer, {perSecond: Math.max(minDemand, perSecond), atMs: this.#options.clock.nowMs()});
	}

	/** Fraction of the limits of the key that this entry uses. */
	share(key: string): number {
		const told = this.recentlyTold(key);
		return this.#fraction(key, told, Math.max(0, this.#options.entries() - 1 - told.length));
	}

	/** Fraction among the entries that have told a demand, this one included. Peers that tell none count as without callers. */
	shareAmongTold(key: string): number {
		return this.#fraction(key, this.recentlyTold(key), 0);
	}

	/** Demands that peers have told lately. */
	recentlyTold(key: string): ToldDemand[] {
		const sinceMs = this.#options.clock.nowMs() - toldMs;
		const told = this.#told.get(key);
		for (const [peer, {atMs}] of told ?? []) {
			if (atMs < sinceMs) {
				told!.delete(peer);
			}
		}

		return [...told?.values() ?? []];
	}

	/**
	 * The demand that the others know. It is measured at moments that have nothing to do with requests: right after a request, an entry with few callers
	 * would find its demand at its highest, and the shares of all would add up to more than one.
	 */
	ownDemand(key: string): number {
		const told = this.#own.get(key);
		return told && told.atMs >= this.#options.clock.nowMs() - maxOwnAgeMs ? told.perSecond : this.measureDemand(key);
	}

	#fraction(key: string, told: readonly ToldDemand[], untold: number): number {
		const own = this.ownDemand(key);
		return own / (own + (untold * own) + told.reduce((sum, {perSecond}) => sum + perSecond, 0));
	}
}
