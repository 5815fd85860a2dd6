/**
 * Limits the accounts that request more than their share while the fleet cannot serve all accounts. Capacity is divided by
 * weighted max-min fairness: an account that requests less than its share is not limited, and the capacity that it does not
 * use goes to the others. Without this limit, a burst of one account fills queues and decode batches, and the requests of
 * all accounts are rejected at the same rate.
 */

/** Work that an account requests over the window, with the weight of its share. */
export type AccountDemand = {readonly weight: number; readonly work: number};

/** Divides the capacity by weighted max-min fairness. The shares are in the order of the demands. */
export const divideCapacity = (demands: readonly AccountDemand[], capacity: number): number[] => {
	const shares = demands.map(() => 0);
	let unsatisfied = demands.map((_, index) => index);
	let remaining = capacity;
	while (unsatisfied.length > 0) {
		const weights = unsatisfied.reduce((sum, index) => sum + demands[index]!.weight, 0);
		const perWeight = remaining / weights;
		const satisfied = unsatisfied.filter(index => demands[index]!.work <= demands[index]!.weight * perWeight);
		for (const index of satisfied.length > 0 ? satisfied : unsatisfied) {
			shares[index] = Math.min(demands[index]!.work, demands[index]!.weight * perWeight);
			remaining -= shares[index];
		}

		unsatisfied = satisfied.length > 0 ? unsatisfied.filter(index => !satisfied.includes(index)) : [];
	}

	return shares;
};

type RequestArrival = {readonly atMs: number; readonly account: string; readonly weight: number; readonly work: number};

// Long enough that a small account sends a few requests to one entry.
const windowMs = 20_000;
const recomputeIntervalMs = 500;
// Fraction of the estimated capacity that is divided. With all of it, queues stay full and also reject small accounts.
const usableFraction = 0.9;

/** Retry delay for a request over the share of its account. The shares change within seconds. */
export const overShareRetryMs = 1000;

/** The fraction of the requests of each account that an entry admits. Accounts without requests in the window use no memory. */
export class AccountShares {
	#arrivals: RequestArrival[] = [];
	#admittedFractions = new Map<string, number>();
	#computedMs = Number.NEGATIVE_INFINITY;

	/** Records a request, whether it is admitted or not. The work can have any unit, the same one for all requests. */
	recordRequest(account: string, weight: number, work: number, nowMs: number): void {
		this.#arrivals.push({
			atMs: nowMs, account, weight, work,
		});
	}

	/** Fraction of the account's requests to admit when the fleet can serve `servableFraction` of all work. */
	admittedFraction(account: string, servableFraction: () => number, nowMs: number): number {
		if (nowMs - this.#computedMs >= recomputeIntervalMs) {
			this.#computedMs = nowMs;
			this.#compute(servableFraction(), nowMs);
		}

		return this.#admittedFractions.get(account) ?? 1;
	}

	#compute(servableFraction: number, nowMs: number): void {
		const firstInWindow = this.#arrivals.findIndex(({atMs}) => atMs > nowMs - windowMs);
		this.#arrivals = firstInWindow === -1 ? [] : this.#arrivals.slice(firstInWindow);
		this.#admittedFractions = new Map();
		if (servableFraction >= 1) {
			return;
		}

		const demands = this.#demands();
		const total = [...demands.values()].reduce((sum, {work}) => sum + work, 0);
		const lowerBounds = [...demands.values()].map(({weight, work, count}) => ({weight, work: lowerBoundOfWork(work, count)}));
		const shares = divideCapacity(lowerBounds, total * servableFraction * usableFraction);
		for (const [index, account] of [...demands.keys()].entries()) {
			const {work} = lowerBounds[index]!;
			this.#admittedFractions.set(account, work > 0 ? Math.min(1, shares[index]! / work) : 1);
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

/** The observed work less one standard deviation of the number of requests, so that a random excess does not limit an account. */
const lowerBoundOfWork = (work: number, count: number): number => work * Math.max(0, 1 - (1 / Math.sqrt(count)));
