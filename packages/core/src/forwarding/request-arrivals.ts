/**
 * Counts the calls of one request that reach endpoints. The first call that is not an accepted prefill is the request itself, and
 * the first accepted prefill belongs to it. Every other call is an extra call that loads an endpoint again, whether it
 * is a prefill, an attempt or a call that the endpoint rejects.
 */

export type ArrivingCall = {
	/** The call was a prefill that the engine accepted and completed; nothing decodes yet. */
	readonly isPrefilled: boolean;
};

export type PlannedAttempt = {
	/** The prompt is first prefilled at another engine. */
	readonly isSplit: boolean;
};

const noAttempts: readonly PlannedAttempt[] = [];

export class RequestArrivals {
	#countedCalls = 0;
	#hasAcceptedPrefill = false;

	/** Calls so far that loaded an endpoint again. */
	get extraCalls(): number {
		return Math.max(0, this.#countedCalls - 1);
	}

	/**
	 * Extra calls of one more attempt, if each of its calls reaches an endpoint and its prefill is accepted. Attempts that still run count as if
	 * theirs did, too.
	 */
	extraCallsOf({isSplit}: PlannedAttempt, running: readonly PlannedAttempt[] = noAttempts): number {
		const mayAcceptPrefill = this.#hasAcceptedPrefill || running.some(attempt => attempt.isSplit);
		const prefills = isSplit && mayAcceptPrefill ? 1 : 0;
		const calls = this.#countedCalls + running.length;
		return calls + prefills - Math.max(0, calls - 1);
	}

	/** Records a call that has reached an endpoint; returns whether it is an extra call. */
	record({isPrefilled}: ArrivingCall): boolean {
		if (isPrefilled && !this.#hasAcceptedPrefill) {
			this.#hasAcceptedPrefill = true;
			return false;
		}

		this.#countedCalls += 1;
		return this.#countedCalls > 1;
	}
}
