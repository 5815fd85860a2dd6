/**
 * Writes the metered usage to the object store, and keeps it in memory while the store is down.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, usageObjectKey, UsageMeter, type ClientAccountName, type Clock, type Usage, type UsagePart, type WindowId,
} from '@hawthorncleat/core';
import type {ObjectStore} from '@hawthorncleat/store';
import type {Log} from '@hawthorncleat/telemetry';

const finalTries = 5;
const finalPauseMs = 500;

type UsageOptions = {
	/** The id may become known only when the entry listens. */
	readonly owner: () => {readonly entryId: string; readonly incarnation: string};
	readonly windowMs: number;
	readonly wallClock: Clock;
	readonly store: Pick<ObjectStore, 'write'>;
	readonly log: Log;
	readonly onFailure: () => void;
};

/** Meters usage and flushes it. */
export class UsageRecorder {
	readonly #options: UsageOptions;
	readonly #meter: UsageMeter;
	#flushing: Promise<void> | undefined;
	#isFailing = false;
	#newestWindowMs = 0;

	constructor(options: UsageOptions) {
		this.#options = options;
		this.#meter = new UsageMeter(options.owner);
	}

	get windows(): number {
		return this.#meter.windowCount;
	}

	record(account: ClientAccountName, usage: Usage): void {
		this.#meter.record(this.#currentWindow(), account, usage);
	}

	/** Writes what has not been written yet. One flush runs at a time, so that a state is not written twice. */
	async flush(): Promise<void> {
		this.#flushing ??= this.#flushAll().finally(() => {
			this.#flushing = undefined;
		});
		return this.#flushing;
	}

	/** Writes everything, with a few tries, because what is left at the end of the process is lost. */
	async flushFinally(): Promise<void> {
		for (let tries = 1; tries <= finalTries; tries++) {
			await this.flush();
			if (this.#meter.unflushedParts().length === 0) {
				return;
			}

			await sleep(finalPauseMs);
		}

		this.#options.log.warn('usage was not written before the end', {parts: this.#meter.unflushedParts().length});
	}

	/**
	 * Never goes back with the time of day: an earlier window may have been flushed and forgotten, and metering it anew would
	 * give two contents to one object.
	 */
	#currentWindow(): WindowId {
		const {windowMs, wallClock} = this.#options;
		this.#newestWindowMs = Math.max(this.#newestWindowMs, Math.floor(wallClock.nowMs() / windowMs) * windowMs);
		return brandAs<WindowId>(String(this.#newestWindowMs));
	}

	async #flushAll(): Promise<void> {
		for (const part of this.#meter.unflushedParts()) {
			await this.#write(part);
		}

		this.#meter.dropFlushed(this.#currentWindow());
	}

	async #write(part: UsagePart): Promise<void> {
		try {
			await this.#options.store.write(usageObjectKey(part), part);
			this.#meter.markFlushed(part);
			this.#noteState(false);
		} catch {
			this.#options.onFailure();
			this.#noteState(true);
		}
	}

	#noteState(isFailing: boolean): void {
		if (isFailing !== this.#isFailing) {
			this.#isFailing = isFailing;
			const message = isFailing ? 'usage cannot be written and is kept in memory' : 'usage is written again';
			this.#options.log[isFailing ? 'warn' : 'info'](message);
		}
	}
}
