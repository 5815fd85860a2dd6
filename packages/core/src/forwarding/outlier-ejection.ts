/**
 * Outlier ejection of one endpoint, based only on the results of requests there: failures in a row eject it for increasing
 * times, and one success restores it.
 */

/** Duration of the first ejection. It is short, because a refused connection is often caused by a restart of about a second. */
const firstEjectionMs = 400;
const maxEjectionMs = 4000;

export class OutlierEjection {
	#failures = 0;
	#ejectedUntilMs = 0;

	get failures(): number {
		return this.#failures;
	}

	isEjected(nowMs: number): boolean {
		return nowMs < this.#ejectedUntilMs;
	}

	/** Time until the end of the ejection; 0 if there is none. */
	remainingMs(nowMs: number): number {
		return Math.max(0, this.#ejectedUntilMs - nowMs);
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#ejectedUntilMs = 0;
	}

	/**
	 * Records that another process has the endpoint's address, or that the endpoint has another role. This lasts until its registration changes
	 * or expires, which takes seconds.
	 */
	recordMisdirected(nowMs: number): void {
		this.#failures += 1;
		this.#ejectedUntilMs = nowMs + maxEjectionMs;
	}

	/** Records a failure. Failures while the endpoint is already ejected have the same cause and are not counted. */
	recordFailure(nowMs: number): void {
		if (this.isEjected(nowMs)) {
			return;
		}

		this.#ejectedUntilMs = nowMs + Math.min(maxEjectionMs, firstEjectionMs * (2 ** this.#failures));
		this.#failures += 1;
	}
}
