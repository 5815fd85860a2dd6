/**
 * The extra calls that the attempts of one request have reserved in the retry window of its service.
 */
import type {RetryReservation, RetryWindow} from '@hawthorncleat/core';

type Reserved = {readonly reservation: RetryReservation; calls: number};

export class ReservedCalls {
	readonly #window: RetryWindow;
	readonly #reserved: Reserved[] = [];

	constructor(window: RetryWindow) {
		this.#window = window;
	}

	/** Returns false when the window does not allow that many extra calls. */
	reserve(calls: number): boolean {
		const reservation = this.#window.reserve(calls);
		if (!reservation) {
			return false;
		}

		this.#reserved.push({reservation, calls});
		return true;
	}

	/** Returns the calls that did not reach an endpoint. May only be called while no attempt runs. */
	settle(extraCalls: number): void {
		let unused = this.#reserved.reduce((sum, {calls}) => sum + calls, 0) - extraCalls;
		for (const reserved of this.#reserved.toReversed()) {
			const returned = Math.min(reserved.calls, Math.max(0, unused));
			reserved.reservation.release(returned);
			reserved.calls -= returned;
			unused -= returned;
		}
	}
}
