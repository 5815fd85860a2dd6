/**
 * Counts what is under way, so that a drain waits for it.
 */
import {callerError} from './caller-errors.js';

/** Requests and background writes that are under way. */
export class RunningRequests {
	readonly #retryAfterMs: number;
	readonly #onChange: (count: number) => void;
	#count = 0;
	#isDraining = false;
	#waiting: Array<() => void> = [];

	constructor(retryAfterMs: number, onChange: (count: number) => void) {
		this.#retryAfterMs = retryAfterMs;
		this.#onChange = onChange;
	}

	get count(): number {
		return this.#count;
	}

	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** From now on new requests are refused. */
	startDrain(): void {
		this.#isDraining = true;
	}

	/** Refuses a request that arrives during a drain. */
	refuseWhileDraining(): void {
		if (this.#isDraining) {
			throw callerError('draining', 'this entry is shutting down', {retryAfterMs: this.#retryAfterMs});
		}
	}

	/** Counts work until it has settled. */
	async track<Value>(work: () => Promise<Value>): Promise<Value> {
		this.#change(1);
		try {
			return await work();
		} finally {
			this.#change(-1);
		}
	}

	/** Waits until nothing is under way, at most `limitMs` if that is not 0. */
	async idle(limitMs: number): Promise<boolean> {
		if (this.#count === 0) {
			return true;
		}

		return new Promise(resolve => {
			const timer = limitMs > 0
				? setTimeout(() => {
					resolve(false);
				}, limitMs)
				: undefined;
			this.#waiting.push(() => {
				clearTimeout(timer);
				resolve(true);
			});
		});
	}

	#change(difference: number): void {
		this.#count += difference;
		this.#onChange(this.#count);
		if (this.#count === 0) {
			const waiting = this.#waiting;
			this.#waiting = [];
			for (const resolve of waiting) {
				resolve();
			}
		}
	}
}
