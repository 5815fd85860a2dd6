/**
 * The discrete event queue that drives a benchmark run. Time passes only from one event to the next.
 */
import type {Clock} from '@hawthorncleat/core';
import {Heap} from 'heap-js';

type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Events in order of time; events of the same time run in the order in which they were scheduled. */
export class Scheduler implements Clock {
	readonly #events = new Heap<Event>((a, b) => a.atMs - b.atMs || a.order - b.order);
	#currentMs = 0;
	#order = 0;

	nowMs(): number {
		return this.#currentMs;
	}

	after(delayMs: number, run: () => void): void {
		this.#events.push({atMs: this.#currentMs + delayMs, order: this.#order++, run});
	}

	/** Runs `run` at each multiple of the interval after the first delay, until the end of the run. */
	every(intervalMs: number, firstAfterMs: number, run: () => void): void {
		this.after(firstAfterMs, () => {
			run();
			this.every(intervalMs, intervalMs, run);
		});
	}

	/** Runs all events up to that time. */
	runUntil(endMs: number): void {
		for (let next = this.#events.peek(); next && next.atMs <= endMs; next = this.#events.peek()) {
			this.#events.pop();
			this.#currentMs = next.atMs;
			next.run();
		}

		this.#currentMs = endMs;
	}
}
