/**
 * Follows the generation of a table for one lease: when this process first saw the newest one, and a signal that aborts when a newer
 * one is seen.
 */
import {firstGeneration, type Clock, type StoreGeneration} from '@hawthorncleat/core';
import {sleep} from './lease-tenure.js';
import type {Table} from './store.js';

/** Short against the margin of a lease, so that a duty stops long before another process may take its lease. */
const pollIntervalMs = 100;

export class GenerationWatch {
	readonly #table: Table;
	readonly #clock: Clock;
	#current: StoreGeneration;
	#firstSeenMs: number;
	#controller = new AbortController();

	constructor(table: Table, clock: Clock) {
		this.#table = table;
		this.#clock = clock;
		this.#current = table.generation?.() ?? firstGeneration;
		this.#firstSeenMs = clock.nowMs();
	}

	/** The newest generation that an answer of the table had; the first one for a table without generations. */
	get current(): StoreGeneration {
		this.#update();
		return this.#current;
	}

	/** Time at which this process noticed the newest generation. The table had returned by then. */
	get firstSeenMs(): number {
		this.#update();
		return this.#firstSeenMs;
	}

	/** Aborts when a generation newer than the current one is seen, or when the watch ends. */
	get changed(): AbortSignal {
		this.#update();
		return this.#controller.signal;
	}

	/** Polls the generation until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#update();
			await sleep(pollIntervalMs, signal);
		}

		this.#controller.abort();
	}

	#update(): void {
		const generation = this.#table.generation?.() ?? firstGeneration;
		if (generation === this.#current) {
			return;
		}

		const previous = this.#controller;
		this.#current = generation;
		this.#firstSeenMs = this.#clock.nowMs();
		this.#controller = new AbortController();
		previous.abort();
	}
}
