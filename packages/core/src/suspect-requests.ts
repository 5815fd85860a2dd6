/**
 * Remembers which requests ran at an engine when it crashed, so that a request that crashes every engine costs two of
 * them at most.
 */
import type {Clock} from './clock.js';
import type {Fingerprint} from './ids.js';

const defaultSuspectMs = 600_000;
/** The notices of one crash arrive on several ways within this time and count once. */
const sameCrashMs = 5000;
const defaultQuarantineMarks = 2;

/** What may be done with a request. */
export type SuspectStatus = 'none' | 'suspect' | 'quarantined';

type Mark = {readonly source: string; readonly atMs: number};

export type SuspectRequestsOptions = {
	/** Crashes at which a request must have run before it is refused. */
	readonly quarantineCrashes?: number;
	/** How long a mark is kept. */
	readonly retentionMs?: number;
	/** Crashes of any source that lie closer together had a common cause and count once. */
	readonly sameCauseWindowMs?: number;
};

/** Marks of fingerprints, each kept for ten minutes if nothing else is said. */
export class SuspectRequests {
	readonly #clock: Clock;
	readonly #quarantineMarks: number;
	readonly #suspectMs: number;
	readonly #sameCauseMs: number;
	readonly #marks = new Map<Fingerprint, Mark[]>();

	constructor(clock: Clock, {quarantineCrashes: quarantineMarks = defaultQuarantineMarks, retentionMs: suspectMs = defaultSuspectMs, sameCauseWindowMs: sameCauseMs = 0}: SuspectRequestsOptions = {}) {
		this.#clock = clock;
		this.#quarantineMarks = quarantineMarks;
		this.#suspectMs = suspectMs;
		this.#sameCauseMs = sameCauseMs;
	}

	/** Number of fingerprints with a mark. */
	get size(): number {
		return this.#marks.size;
	}

	/** Adds a mark for a crash at `source`. Returns false if the mark repeats a known crash. */
	recordCrash(fingerprint: Fingerprint, source: string): boolean {
		this.#dropExpired();
		const marks = this.#marks.get(fingerprint) ?? [];
		const nowMs = this.#clock.nowMs();
		const isKnown = ({source: known, atMs}: Mark): boolean => nowMs - atMs < (known === source ? sameCrashMs : this.#sameCauseMs);
		if (marks.some(mark => isKnown(mark))) {
			return false;
		}

		this.#marks.set(fingerprint, [...marks, {source, atMs: nowMs}]);
		return true;
	}

	/** Takes over another entry's count. Counts are not added, because both may have heard of the same crash. */
	adoptCount(fingerprint: Fingerprint, count: number): void {
		this.#dropExpired();
		const marks = [...this.#marks.get(fingerprint) ?? []];
		while (marks.length < Math.min(count, this.#quarantineMarks)) {
			marks.push({source: '', atMs: this.#clock.nowMs()});
		}

		this.#marks.set(fingerprint, marks);
	}

	/** Forgets the marks of a request that has run without a crash. */
	clear(fingerprint: Fingerprint): void {
		this.#marks.delete(fingerprint);
	}

	countCrashes(fingerprint: Fingerprint): number {
		const oldestMs = this.#clock.nowMs() - this.#suspectMs;
		return (this.#marks.get(fingerprint) ?? []).filter(mark => mark.atMs > oldestMs).length;
	}

	classify(fingerprint: Fingerprint): SuspectStatus {
		const count = this.countCrashes(fingerprint);
		if (count === 0) {
			return 'none';
		}

		return count < this.#quarantineMarks ? 'suspect' : 'quarantined';
	}

	/** Time until the request may run again. */
	retryAfterMs(fingerprint: Fingerprint): number {
		const [oldest] = (this.#marks.get(fingerprint) ?? []).slice(-this.#quarantineMarks);
		return oldest ? Math.max(0, oldest.atMs + this.#suspectMs - this.#clock.nowMs()) : 0;
	}

	#dropExpired(): void {
		for (const [fingerprint] of this.#marks) {
			if (this.countCrashes(fingerprint) === 0) {
				this.#marks.delete(fingerprint);
			}
		}
	}
}
