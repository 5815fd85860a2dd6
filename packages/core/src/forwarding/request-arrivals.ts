/**
 * Counts the calls of one request that reach endpoints. The first call that is not an accepted prefill is the request itself, and
 * the first accepted prefill comes with it. Every other call is a further one and loads an endpoint again, whether it
 * is a prefill, an attempt or a call that the endpoint rejects.
 */

export type ArrivingCall = {
	/** An engine has prefilled the prompt and runs nothing yet. */
	readonly isPrefilled: boolean;
};

export type PlannedAttempt = {
	/** The prompt is prefilled at another engine first. */
	readonly isSplit: boolean;
};

export class RequestArrivals {
	#counted = 0;
	#hasPrefill = false;

	/** Calls that loaded an endpoint again. */
	get extraCalls(): number {
		return Math.max(0, this.#counted - 1);
	}

	/** Further calls of one more attempt, if each of its calls arrives and its prefill is accepted. */
	extraCallsOf({isSplit}: PlannedAttempt): number {
		const prefills = isSplit && this.#hasPrefill ? 1 : 0;
		return Math.max(0, this.#counted + prefills) - this.extraCalls;
	}

	/** A call has reached an endpoint. */
	record({isPrefilled}: ArrivingCall): void {
		if (isPrefilled && !this.#hasPrefill) {
			this.#hasPrefill = true;
		} else {
			this.#counted += 1;
		}
	}
}
