/**
 * Copies of the store, taken all the time, so that it can return from one of any age.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreCopy, StoreStandIn} from '@hawthorncleat/platform/stand-ins';

const copyIntervalMs = 250;
/** The store returns from no copy that is older. */
export const maxCopyAgeMs = 10_000;
const maxCopies = maxCopyAgeMs / copyIntervalMs;

export class StoreCopies {
	readonly #store: StoreStandIn;
	readonly #copies: Array<{readonly copy: StoreCopy; readonly atMs: number}> = [];

	constructor(store: StoreStandIn) {
		this.#store = store;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#copies.push({copy: this.#store.takeCopy(), atMs: performance.now()});
			this.#copies.splice(0, this.#copies.length - maxCopies);
			await sleep(copyIntervalMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** The newest copy that is at least this old, or the oldest one. */
	ofAge(ageMs: number): StoreCopy {
		const untilMs = performance.now() - ageMs;
		return (this.#copies.findLast(({atMs}) => atMs <= untilMs) ?? this.#copies[0]!).copy;
	}
}
