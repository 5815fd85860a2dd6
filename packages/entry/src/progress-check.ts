/**
 * Checks that a stream makes progress. Without any it asks the agent to send again, since a frame may have been dropped, and from the limit on it asks
 * whether another attempt takes over.
 */

/** A stream without progress is checked this many times within the limit, and as often after it. */
const checksPerLimit = 10;
/** The agent is asked to send again at every so many checks, which leaves an engine time for its first token. */
const checksPerResend = 3;

export type ProgressCheckOptions = {
	readonly limitMs: number;
	/** Called from the limit on; returns whether the stream is given up. */
	readonly giveUp: () => boolean;
	readonly requestResend: () => void;
};

/** The checks of one stream, which run from the first progress on until they are stopped or the stream is given up. */
export class ProgressCheck {
	readonly #options: ProgressCheckOptions;
	#timer: NodeJS.Timeout | undefined;
	/** Checks since the last progress. */
	#checks = 0;

	constructor(options: ProgressCheckOptions) {
		this.#options = options;
	}

	noteProgress(): void {
		this.#checks = 0;
		this.#startTimer();
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	#startTimer(): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#check();
		}, this.#options.limitMs / checksPerLimit);
	}

	#check(): void {
		this.#checks += 1;
		if (this.#checks >= checksPerLimit && this.#options.giveUp()) {
			return;
		}

		this.#startTimer();
		if (this.#checks % checksPerResend === 0) {
			this.#options.requestResend();
		}
	}
}
