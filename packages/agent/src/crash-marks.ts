/**
 * Fingerprints of requests that ran when this agent's endpoint crashed, kept for ten minutes. Entries are told as well;
 * the agent's own marks cover the time until they know.
 */
import type {Clock} from '@hawthorncleat/core';

const markMs = 600_000;
const maxMarks = 1000;

/** The marks of one agent. */
export class CrashMarks {
	readonly #untilMs = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	add(fingerprints: readonly string[]): void {
		for (const fingerprint of fingerprints) {
			this.#untilMs.delete(fingerprint);
			this.#untilMs.set(fingerprint, this.clock.nowMs() + markMs);
		}

		for (const fingerprint of this.#untilMs.keys()) {
			if (this.#untilMs.size <= maxMarks) {
				break;
			}

			this.#untilMs.delete(fingerprint);
		}
	}

	has(fingerprint: string): boolean {
		const untilMs = this.#untilMs.get(fingerprint);
		return untilMs !== undefined && untilMs > this.clock.nowMs();
	}
}
