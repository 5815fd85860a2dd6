/**
 * Shares of the entries in the limits of endpoints, by the requests that callers make of each entry. An equal fraction for each would leave most of a
 * limit unused where callers come to a few entries only. Each entry tells its demand; the shares of entries that know the same demands add up to one.
 */
import type {Clock} from '../clock.js';
import {SlidingSums} from './sliding-sums.js';

/** Demand is measured over this time: longer than a share of a second, shorter than a burst. */
const demandWindowMs = 2000;
const bucketCount = 10;
/** Demand of an entry without callers, in requests a second. It keeps a share small that may be used at any moment. */
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

type Told = {readonly perSecond: number; readonly atMs: number};

export class RateShares {
	readonly #options: RateSharesOptions;
	/** What this entry has last told. */
	readonly #own = new Map<string, Told>();
	readonly #requests = new Map<string, SlidingSums<'requests'>>();
	/** Demands that peers have told, by service and peer. */
	readonly #told = new Map<string, Map<string, Told>>();

	constructor(options: RateSharesOptions) {
		this.#options = options;
	}

	/** Records a request of a caller. */
	recordRequest(service: string): void {
		const requests = this.#requests.get(service) ?? new SlidingSums({windowMs: demandWindowMs, buckets: bucketCount, names: ['requests']});
		this.#requests.set(service, requests);
		requests.add(this.#options.clock.nowMs(), {requests: 1});
	}

	/** Measures the requests a second of this entry's own callers, to be told to the others. */
	measureDemand(service: string): number {
		const nowMs = this.#options.clock.nowMs();
		const requests = this.#requests.get(service)?.totals(nowMs).requests ?? 0;
		const perSecond = Math.max(minDemand, requests / demandWindowMs * msPerSecond);
		this.#own.set(service, {perSecond, atMs: nowMs});
		return perSecond;
	}

	/** Records what a peer has told. */
	recordPeer(peer: string, demands: readonly ServiceDemand[]): void {
		for (const {service, perSecond} of demands) {
			const told = this.#told.get(service) ?? new Map<string, Told>();
			this.#told.set(service, told);
			told.set(peer, {perSecond: Math.max(minDemand, perSecond), atMs: this.#options.clock.nowMs()});
		}
	}

	/** Fraction of the limits of the service's endpoints that this entry uses. */
	share(service: string): number {
		const own = this.#ownDemand(service);
		const told = this.#recentlyTold(service);
		const untold = Math.max(0, this.#options.entries() - 1 - told.length);
		return own / (own + (untold * own) + told.reduce((sum, {perSecond}) => sum + perSecond, 0));
	}

	/**
	 * The demand that the others know. It is measured at moments that have nothing to do with requests: right after a request, an entry with few callers
	 * would find its demand at its highest, and the shares of all would add up to more than one.
	 */
	#ownDemand(service: string): number {
		const told = this.#own.get(service);
		return told && told.atMs >= this.#options.clock.nowMs() - maxOwnAgeMs ? told.perSecond : this.measureDemand(service);
	}

	#recentlyTold(service: string): Told[] {
		const sinceMs = this.#options.clock.nowMs() - toldMs;
		const told = this.#told.get(service);
		for (const [peer, {atMs}] of told ?? []) {
			if (atMs < sinceMs) {
				told!.delete(peer);
			}
		}

		return [...told?.values() ?? []];
	}
}
