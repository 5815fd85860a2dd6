/**
 * Holds back accounts that ask for more than their share while the fleet cannot serve everybody. Capacity is divided by
 * weighted max-min fairness: no account is held back while it asks for less than its share, and what one leaves goes to
 * the others. Without this, a burst of one account fills queues and decode batches, and all accounts are refused alike.
 */

/** Work that an account asks for over the window. */
export type AccountDemand = {readonly weight: number; readonly work: number};

/** Divides the capacity by weighted max-min fairness; the result has the order of the demands. */
export const divideCapacity = (demands: readonly AccountDemand[], capacity: number): number[] => {
	const shares = demands.map(() => 0);
	let open = demands.map((_, index) => index);
	let left = capacity;
	while (open.length > 0) {
		const weights = open.reduce((sum, index) => sum + demands[index]!.weight, 0);
		const perWeight = left / weights;
		const satisfied = open.filter(index => demands[index]!.work <= demands[index]!.weight * perWeight);
		for (const index of satisfied.length > 0 ? satisfied : open) {
			shares[index] = Math.min(demands[index]!.work, demands[index]!.weight * perWeight);
			left -= shares[index];
		}

		open = satisfied.length > 0 ? open.filter(index => !satisfied.includes(index)) : [];
	}

	return shares;
};

type Arrival = {readonly atMs: number; readonly account: string; readonly weight: number; readonly work: number};

// Long enough for a few requests of a small account at one entry.
const windowMs = 20_000;
const recomputeMs = 500;
// Part of the estimated capacity that is divided. With all of it the queues stay full and refuse the small accounts too.
const usablePart = 0.9;

/** Time after which an account that was held back may ask again; the shares change in seconds. */
export const overShareRetryMs = 1000;

/** Parts of the requests of each account that an entry admits; state is kept only for the accounts of the window. */
export class AccountShares {
	#arrivals: Arrival[] = [];
	#parts = new Map<string, number>();
	#computedMs = Number.NEGATIVE_INFINITY;

	/** Notes a request with its work in any unit, admitted or not. */
	recordRequest(account: string, weight: number, work: number, nowMs: number): void {
		this.#arrivals.push({
			atMs: nowMs, account, weight, work,
		});
	}

	/** Part of the account's requests to admit when the fleet can serve `servable` of all work. */
	admittedFraction(account: string, servable: () => number, nowMs: number): number {
		if (nowMs - this.#computedMs >= recomputeMs) {
			this.#computedMs = nowMs;
			this.#compute(servable(), nowMs);
		}

		return this.#parts.get(account) ?? 1;
	}

	#compute(servable: number, nowMs: number): void {
		const keptFrom = this.#arrivals.findIndex(({atMs}) => atMs > nowMs - windowMs);
		this.#arrivals = keptFrom === -1 ? [] : this.#arrivals.slice(keptFrom);
		this.#parts = new Map();
		if (servable >= 1) {
			return;
		}

		const demands = this.#demands();
		const total = [...demands.values()].reduce((sum, {work}) => sum + work, 0);
		const certain = [...demands.values()].map(({weight, work, count}) => ({weight, work: certainWork(work, count)}));
		const shares = divideCapacity(certain, total * servable * usablePart);
		for (const [index, account] of [...demands.keys()].entries()) {
			const {work} = certain[index]!;
			this.#parts.set(account, work > 0 ? Math.min(1, shares[index]! / work) : 1);
		}
	}

	#demands(): Map<string, {weight: number; work: number; count: number}> {
		const demands = new Map<string, {weight: number; work: number; count: number}>();
		for (const {account, weight, work} of this.#arrivals) {
			const demand = demands.get(account) ?? {weight, work: 0, count: 0};
			demand.work += work;
			demand.count++;
			demands.set(account, demand);
		}

		return demands;
	}
}

/** Demand that is not chance: one standard deviation of the number of requests below what was seen. */
const certainWork = (work: number, count: number): number => work * Math.max(0, 1 - (1 / Math.sqrt(count)));
