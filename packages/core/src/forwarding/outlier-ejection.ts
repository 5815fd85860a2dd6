/**
 * How far an endpoint is trusted, judged only by what requests met there: after failures it is avoided for a growing
 * time, and one success restores it.
 */

/** First time that an endpoint is avoided; a connection that was refused is often a restart of a second or so. */
const firstAvoidMs = 400;
const maxAvoidMs = 4000;

/** Failures of one endpoint in a row. */
export class OutlierEjection {
	#failures = 0;
	#avoidUntilMs = 0;

	get failures(): number {
		return this.#failures;
	}

	isEjected(nowMs: number): boolean {
		return nowMs < this.#avoidUntilMs;
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#avoidUntilMs = 0;
	}

	/** Something else has its address or its role. That lasts until its registration changes or lapses, which takes seconds. */
	recordMisdirected(nowMs: number): void {
		this.#failures += 1;
		this.#avoidUntilMs = nowMs + maxAvoidMs;
	}

	/** Failures while the endpoint is avoided already are of the same cause and count once. */
	recordFailure(nowMs: number): void {
		if (this.isEjected(nowMs)) {
			return;
		}

		this.#avoidUntilMs = nowMs + Math.min(maxAvoidMs, firstAvoidMs * (2 ** this.#failures));
		this.#failures += 1;
	}
}
