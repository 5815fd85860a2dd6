/**
 * A simulated fleet before one endpoint that names a limit: entries that share the limit and tell each other their demand, without network. Tests use it, and
 * `npm run limits` prints with it how much of a limit a fleet uses.
 */
import {createManualClock} from '@hawthorncleat/test-kit';
import {EndpointRateLimit} from '../endpoint-rate-limit.js';
import {RateShares} from '../rate-shares.js';

const service = 's';
const stepMs = 20;
const windowMs = 4000;
/** Entries tell each other their demand this often. */
const gossipMs = 200;
/** What the users allow in a window. */
export const maxInWindow = (perSecond: number): number => (perSecond * windowMs / 1000 * 1.5) + 5;

type Entry = {
	shares: RateShares;
	limit: EndpointRateLimit;
	demandPerSecond: number;
	dueRequests: number;
	/** It does nothing until then. */
	frozenUntilMs: number;
	/** Nothing passes between it and the others until then. */
	cutUntilMs: number;
};

/** Entries before one endpoint, on one clock. Each offers its requests to the endpoint; what it may not take goes elsewhere. */
export class LimitedFleet {
	readonly clock = createManualClock(100_000);
	readonly arrivalsMs: number[] = [];
	readonly entries: Entry[];
	/** Fraction of the messages that are lost. */
	lossFraction = 0;
	readonly #random: () => number;

	constructor(demands: readonly number[], random: () => number) {
		this.#random = random;
		this.entries = demands.map((demandPerSecond, index) => ({
			...this.#createState(index, demands.length), demandPerSecond, dueRequests: 0, frozenUntilMs: 0, cutUntilMs: 0,
		}));
	}

	/** The entry begins without memory. */
	restart(entry: Entry): void {
		Object.assign(entry, this.#createState(this.entries.indexOf(entry), this.entries.length), {dueRequests: 0});
	}

	/** Each entry learns of the limit from an answer. */
	state(perSecond: number | undefined): void {
		const nowMs = this.clock.nowMs();
		for (const {limit} of this.entries) {
			limit.recordAnswer({perSecond, statedMs: nowMs, askedMs: nowMs});
		}
	}

	run(forMs: number): void {
		for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			for (const entry of this.entries) {
				this.#offer(entry);
			}

			if (this.clock.nowMs() % gossipMs === 0) {
				this.#gossip();
			}
		}
	}

	mostInWindow(sinceMs: number): number {
		const arrivals = this.arrivalsMs.filter(atMs => atMs >= sinceMs);
		let most = 0;
		let first = 0;
		for (const [last, atMs] of arrivals.entries()) {
			while (arrivals[first]! <= atMs - windowMs) {
				first += 1;
			}

			most = Math.max(most, last - first + 1);
		}

		return most;
	}

	#createState(index: number, entries: number): Pick<Entry, 'limit' | 'shares'> {
		const shares = new RateShares({clock: this.clock, entries: () => entries});
		return {shares, limit: new EndpointRateLimit({share: () => shares.share(service), phase: () => index / entries})};
	}

	#isFrozen({frozenUntilMs}: Entry): boolean {
		return this.clock.nowMs() < frozenUntilMs;
	}

	#isInTouch(entry: Entry): boolean {
		return !this.#isFrozen(entry) && this.clock.nowMs() >= entry.cutUntilMs;
	}

	#offer(entry: Entry): void {
		const {shares, limit, demandPerSecond} = entry;
		if (this.#isFrozen(entry)) {
			return;
		}

		entry.dueRequests += demandPerSecond * stepMs / 1000;
		while (entry.dueRequests >= 1) {
			entry.dueRequests -= 1;
			shares.recordRequest(service);
			// The users' rule counts entries that know of the limit.
			const isCounted = limit.statement !== undefined;
			if (limit.tryTake(this.clock.nowMs()) && isCounted) {
				this.arrivalsMs.push(this.clock.nowMs());
			}
		}
	}

	#gossip(): void {
		for (const [index, sender] of this.entries.entries()) {
			for (const receiver of this.entries) {
				const isDelivered = receiver !== sender && this.#isInTouch(sender) && this.#isInTouch(receiver) && this.#random() >= this.lossFraction;
				if (isDelivered) {
					this.#tell(sender, index, receiver);
				}
			}
		}
	}

	#tell({shares, limit: {statement}}: Entry, index: number, receiver: Entry): void {
		receiver.shares.recordPeer(`e${index}`, [{service, perSecond: shares.measureDemand(service)}]);
		if (statement) {
			receiver.limit.recordHeard(statement, this.clock.nowMs());
		}
	}
}

/** A sequence of numbers that a seed determines. */
export const createRandom = (seed: number): (() => number) => {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
};
