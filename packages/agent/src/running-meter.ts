/**
 * Sums up the running requests over time, so that the mean number that ran beside a request can be told at its end.
 */
export class RunningMeter {
	#runningMs = 0;
	#atMs: number | undefined;

	/** Sum of the running times of all requests up to the last change. */
	get runningMs(): number {
		return this.#runningMs;
	}

	/** Called with the number of requests that have run until now. */
	change(runningUntilNow: number, nowMs: number): void {
		this.#runningMs += runningUntilNow * (nowMs - (this.#atMs ?? nowMs));
		this.#atMs = nowMs;
	}
}
