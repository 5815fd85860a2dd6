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

export class RequestArrivals {
	#countedCalls = 0;
	#hasAcceptedPrefill = false;

	/** Calls so far that loaded an endpoint again. */
	get extraCalls(): number {
		return Math.max(0, this.#countedCalls - 1);
	}

	/** Extra calls of one more attempt, if each of its calls reaches an endpoint and its prefill is accepted. */
	extraCallsOf({isSplit}: PlannedAttempt): number {
		const prefills = isSplit && this.#hasAcceptedPrefill ? 1 : 0;
		return Math.max(0, this.#countedCalls + prefills) - this.extraCalls;
	}

	/** Records a call that has reached an endpoint. */
	record({isPrefilled}: ArrivingCall): void {
		if (isPrefilled && !this.#hasAcceptedPrefill) {
			this.#hasAcceptedPrefill = true;
		} else {
			this.#countedCalls += 1;
		}
	}
}
