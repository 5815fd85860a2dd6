/**
 * A simulated fleet that keeps the limit of one account: entries with callers, and messages that arrive late or get lost, without network.
 */
import {createManualClock} from '@hawthorncleat/test-kit';
import {AccountLimit, type AccountRate, type FleetPart} from '../account-limit.js';
import {RateShares} from '../rate-shares.js';

const key = 'acme';
const stepMs = 10;
export const windowMs = 8000;

export type Offer = {
	/** Units a second that the callers of the entry ask for. */
	perSecond: number;
};

type Entry = Offer & {
	name: string;
	incarnation: number;
	shares: RateShares;
	limit: AccountLimit;
	heardMs: Map<string, number>;
	nextMs: number;
	nextSendMs: number;
	/** It does nothing until then. */
	frozenUntilMs: number;
	/** Nothing passes between it and the others until then. */
	cutUntilMs: number;
};

export type FleetOptions = {
	readonly entries: number;
	readonly rate: AccountRate;
	readonly random: () => number;
	/** Cost of each request, drawn anew. */
	readonly cost: () => number;
	readonly meanCost: number;
	/** Time between two messages of an entry. */
	readonly gossipMs: number;
	/** A fault: the entries do not tell each other anything but that they live. */
	readonly isMute?: boolean;
};

export class AccountFleet {
	readonly clock = createManualClock(100_000);
	readonly entries: Entry[] = [];
	lossFraction = 0;
	rate: AccountRate;
	/** Units of the refill that found the bucket of the fleet full. */
	lost = 0;
	readonly admitted: Array<{readonly atMs: number; readonly cost: number}> = [];
	/** Units refused while the bucket of the fleet, as it really was, held enough for them. */
	refusedBelow = 0;
	/** Units in the bucket of the fleet. */
	#level: number;
	readonly #options: FleetOptions;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.rate = options.rate;
		this.#level = options.rate.burst;
		for (let index = 0; index < options.entries; index += 1) {
			this.entries.push({
				name: `e${index}`, perSecond: 0, nextMs: 0, nextSendMs: 0, frozenUntilMs: 0, cutUntilMs: 0, ...this.#createState(`e${index}`),
			});
		}
	}

	/** The entry begins without memory. */
	restart(entry: Entry): void {
		Object.assign(entry, this.#createState(entry.name));
	}

	setRate(rate: AccountRate): void {
		this.rate = rate;
		for (const {limit} of this.entries) {
			limit.setRate(rate, this.clock.nowMs());
		}
	}

	run(forMs: number): void {
		for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			this.#refill();
			for (const entry of this.entries) {
				if (entry.frozenUntilMs <= this.clock.nowMs()) {
					this.#offer(entry);
					this.#send(entry);
				}
			}
		}
	}

	/** Units admitted since a time. */
	admittedSince(sinceMs: number): number {
		return this.admitted.reduce((sum, {atMs, cost}) => sum + (atMs >= sinceMs ? cost : 0), 0);
	}

	/** The most units in any window that begins at a time or later. */
	mostInWindow(sinceMs: number): number {
		const since = this.admitted.filter(({atMs}) => atMs >= sinceMs);
		let [most, sum, first] = [0, 0, 0];
		for (const {atMs, cost} of since) {
			sum += cost;
			while (since[first]!.atMs <= atMs - windowMs) {
				sum -= since[first]!.cost;
				first += 1;
			}

			most = Math.max(most, sum);
		}

		return most;
	}

	#refill(): void {
		const level = this.#level + (this.rate.perSecond * stepMs / 1000);
		this.#level = Math.min(this.rate.burst, level);
		this.lost += level - this.#level;
	}

	#createState(name: string): Pick<Entry, 'heardMs' | 'incarnation' | 'limit' | 'shares'> {
		const {clock} = this;
		const heardMs = new Map<string, number>();
		let known = {entries: this.#options.entries, inTouch: 1};
		let knownMs = Number.NEGATIVE_INFINITY;
		const fleet = (): FleetPart => {
			const nowMs = clock.nowMs();
			if (nowMs - knownMs >= 20) {
				known = {entries: this.#options.entries, inTouch: 1 + [...heardMs.values()].filter(atMs => atMs > nowMs - 2500).length};
				knownMs = nowMs;
			}

			return known;
		};

		const shares = new RateShares({clock, entries: () => this.#options.entries});
		const limit = new AccountLimit({
			name: key, shares, fleet, random: this.#options.random,
		}, this.rate, clock.nowMs());
		return {
			heardMs, shares, limit, incarnation: this.#options.random(),
		};
	}

	#offer(entry: Entry): void {
		const nowMs = this.clock.nowMs();
		if (entry.perSecond <= 0) {
			entry.nextMs = Number.NEGATIVE_INFINITY;
			return;
		}

		if (entry.nextMs < nowMs - 1000) {
			entry.nextMs = nowMs + this.#pauseMs(entry);
		}

		while (entry.nextMs <= nowMs) {
			const cost = this.#options.cost();
			entry.shares.recordRequest(key, cost);
			if (entry.limit.tryTake(cost, nowMs)) {
				this.admitted.push({atMs: nowMs, cost});
				this.#level -= cost;
			} else if (this.#level >= cost) {
				this.refusedBelow += cost;
			}

			entry.nextMs += this.#pauseMs(entry);
		}
	}

	/** Callers come at random moments. */
	#pauseMs({perSecond}: Entry): number {
		return -Math.log(1 - this.#options.random()) * this.#options.meanCost / perSecond * 1000;
	}

	#send(entry: Entry): void {
		const nowMs = this.clock.nowMs();
		if (nowMs < entry.nextSendMs) {
			return;
		}

		entry.nextSendMs = nowMs + (this.#options.gossipMs * (0.9 + (0.2 * this.#options.random())));
		const perSecond = entry.shares.measureDemand(key);
		const hasNews = perSecond > 0.01 || entry.limit.spent > 0;
		for (const peer of this.entries) {
			const isApart = entry.cutUntilMs > nowMs || peer.cutUntilMs > nowMs || peer.frozenUntilMs > nowMs;
			if (peer === entry || isApart || this.#options.random() < this.lossFraction) {
				continue;
			}

			peer.heardMs.set(entry.name, nowMs);
			if (hasNews && !this.#options.isMute) {
				peer.limit.recordPeer(entry.name, {incarnation: entry.incarnation, spent: entry.limit.spent, perSecond}, nowMs);
				peer.shares.recordPeerDemand(entry.name, key, perSecond);
			}
		}
	}
}
