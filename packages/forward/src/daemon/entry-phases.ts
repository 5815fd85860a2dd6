/**
 * The phases of the entries between start and end: this entry's own, which gossip messages carry, and what the other entries have last sent.
 */
import type {Clock, EntryPhase, PeerPhase} from '@hawthorncleat/core';

/** Phase of an entry as it is sent. */
export type SentPhase = {
	readonly phase: EntryPhase;
	/** Time since the entry was told to stop; 0 if it was not. */
	readonly stoppingMs: number;
};

type ReceivedPhase = SentPhase & {readonly receivedMs: number};

/** An entry that has been silent for longer is forgotten. */
const maxSilentMs = 60_000;

export class EntryPhases {
	readonly #clock: Clock;
	readonly #isReady: () => boolean;
	readonly #received = new Map<string, ReceivedPhase>();
	#stopMs: number | undefined;
	#unreadyMs: number | undefined;

	/** `isReady`: whether this entry can serve requests, regardless of a stop. */
	constructor(clock: Clock, isReady: () => boolean) {
		this.#clock = clock;
		this.#isReady = isReady;
	}

	get own(): SentPhase {
		return {phase: this.#ownPhase, stoppingMs: Math.round(this.stoppingMs)};
	}

	/** Whether this entry was told to stop. */
	get isStopping(): boolean {
		return this.#stopMs !== undefined;
	}

	get stoppingMs(): number {
		return this.#stopMs === undefined ? 0 : this.#clock.nowMs() - this.#stopMs;
	}

	/** Time since this entry withdrew its readiness for a stop; undefined before. */
	get unreadyMs(): number | undefined {
		return this.#unreadyMs === undefined ? undefined : this.#clock.nowMs() - this.#unreadyMs;
	}

	/** Whether this entry reports that it is ready. */
	get isReady(): boolean {
		return this.#unreadyMs === undefined && this.#isReady();
	}

	/** Records that this entry was told to stop. */
	beginStop(): void {
		this.#stopMs ??= this.#clock.nowMs();
	}

	withdraw(): void {
		this.#unreadyMs ??= this.#clock.nowMs();
	}

	record(peer: string, sent: SentPhase): void {
		this.#received.set(peer, {...sent, receivedMs: this.#clock.nowMs()});
	}

	/** What the other entries have last sent. */
	peers(): PeerPhase[] {
		const nowMs = this.#clock.nowMs();
		for (const [name, {receivedMs}] of this.#received) {
			if (nowMs - receivedMs > maxSilentMs) {
				this.#received.delete(name);
			}
		}

		return [...this.#received].map(([name, {phase, stoppingMs, receivedMs}]) => {
			const silentMs = nowMs - receivedMs;
			const isStopping = phase === 'waiting' || phase === 'leaving';
			return {
				name, phase, stoppingMs: isStopping ? stoppingMs + silentMs : 0, silentMs,
			};
		});
	}

	get #ownPhase(): EntryPhase {
		if (this.#stopMs === undefined) {
			return this.#isReady() ? 'ready' : 'starting';
		}

		return this.isReady ? 'waiting' : 'leaving';
	}
}
