/**
 * Lets others wait until some work has ended.
 */

/** Wakes those who wait once `isIdle` holds. */
export class IdleSignal {
	readonly #waiters: Array<() => void> = [];

	constructor(private readonly isIdle: () => boolean) {}

	async wait(): Promise<void> {
		if (!this.isIdle()) {
			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}
	}

	/** Called after work ended. */
	check(): void {
		if (this.isIdle()) {
			for (const resolve of this.#waiters.splice(0)) {
				resolve();
			}
		}
	}
}
