/**
 * What follows from a pause of this process (I12): new work on the connections of that time is refused as not run, waiting
 * work is given back, and the connections close, so that entries open new ones if they still count on this host.
 */
import type {Clock} from '@hawthorncleat/core';
import type {Log} from '@hawthorncleat/telemetry';
import type {Peer} from '@hawthorncleat/wire';
import {PauseGuard} from './pause-guard.js';

// Refusals of what was sent during a pause go out before the connection closes.
const staleCloseMs = 200;

export type PausesOptions = {
	readonly clock: Clock;
	readonly log: Log;
	/** The open connections. */
	readonly peers: ReadonlySet<Peer>;
	readonly dropWaiting: () => void;
};

/** The pauses of one agent. */
export class Pauses {
	readonly #guard: PauseGuard;
	readonly #stale = new WeakSet<Peer>();
	readonly #timers = new Set<NodeJS.Timeout>();

	constructor(private readonly options: PausesOptions) {
		this.#guard = new PauseGuard(options.clock, gapMs => {
			this.#end(gapMs);
		});
	}

	/** Called before anything that a pause may have made old. */
	check(): void {
		this.#guard.check();
	}

	/** Whether a connection was open during a pause, so that its messages may be old. */
	isStale(peer: Peer): boolean {
		this.check();
		return this.#stale.has(peer);
	}

	close(): void {
		this.#guard.close();
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}

	#end(gapMs: number): void {
		const {log, peers, dropWaiting} = this.options;
		const stale = [...peers];
		log.warn('this process was paused', {gapMs, connections: stale.length});
		for (const peer of stale) {
			this.#stale.add(peer);
		}

		dropWaiting();
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			for (const peer of stale) {
				peer.close();
			}
		}, staleCloseMs);
		this.#timers.add(timer);
	}
}
