/**
 * Continuous batching of the stand-in engine. Each step prefills running sequences within a token budget and then
 * generates one token for each sequence whose prefill is complete. Waiting sequences start in the order of priority,
 * higher numbers first.
 */

/** The sequence of one request. If the request is only a prefill, `outputTokens` is 0. */
export type Sequence = {
	readonly requestId: string;
	readonly priority: number;
	/** Tokens left to prefill, without those found in a cache. */
	prefillTokens: number;
	/** Tokens left to generate. */
	outputTokens: number;
	/** KV cache memory that the sequence occupies while it runs, in tokens. */
	readonly kvTokens: number;
	/** Called for each generated token. */
	readonly onToken: () => void;
	/** Called once when prefill is complete. */
	readonly onPrefilled?: () => void;
	/** Called after the last token. */
	readonly onDone: () => void;
};

export type SchedulerOptions = {
	readonly stepMs: number;
	readonly prefillTokensPerStep: number;
	readonly maxRunning: number;
	readonly kvTokens: number;
};

/** Runs sequences in steps. The step timer runs only while there are sequences. */
export class Scheduler {
	readonly #options: SchedulerOptions;
	readonly #prefilled = new WeakSet<Sequence>();
	#waiting: Sequence[] = [];
	#running: Sequence[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SchedulerOptions) {
		this.#options = options;
	}

	get running(): number {
		return this.#running.length;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	get kvFreeTokens(): number {
		const usedTokens = this.#running.reduce((sum, sequence) => sum + sequence.kvTokens, 0);
		return Math.max(0, this.#options.kvTokens - usedTokens);
	}

	add(sequence: Sequence): void {
		const index = this.#waiting.findIndex(other => other.priority < sequence.priority);
		this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, sequence);
		this.#timer ??= setInterval(() => {
			this.#step();
		}, this.#options.stepMs);
	}

	remove(sequence: Sequence): void {
		this.#waiting = this.#waiting.filter(other => other !== sequence);
		this.#running = this.#running.filter(other => other !== sequence);
		this.#stopTimerWhenIdle();
	}

	clear(): void {
		this.#waiting = [];
		this.#running = [];
		this.#stopTimerWhenIdle();
	}

	#step(): void {
		this.#startWaiting();
		this.#prefillRunning();
		for (const sequence of this.#running.filter(sequence => this.#prefilled.has(sequence))) {
			this.#generateToken(sequence);
		}

		this.#stopTimerWhenIdle();
	}

	#startWaiting(): void {
		while (this.#waiting.length > 0 && this.#fits(this.#waiting[0]!)) {
			this.#running.push(this.#waiting.shift()!);
		}
	}

	#fits(sequence: Sequence): boolean {
		// A sequence larger than the memory runs alone, since it would otherwise block the queue forever.
		return this.#running.length === 0
			|| (this.#running.length < this.#options.maxRunning && sequence.kvTokens <= this.kvFreeTokens);
	}

	#prefillRunning(): void {
		let budgetTokens = this.#options.prefillTokensPerStep;
		for (const sequence of this.#running.filter(sequence => !this.#prefilled.has(sequence))) {
			const spentTokens = Math.min(budgetTokens, sequence.prefillTokens);
			sequence.prefillTokens -= spentTokens;
			budgetTokens -= spentTokens;
			if (sequence.prefillTokens === 0) {
				this.#prefilled.add(sequence);
				sequence.onPrefilled?.();
			}
		}
	}

	#generateToken(sequence: Sequence): void {
		if (sequence.outputTokens > 0) {
			sequence.outputTokens -= 1;
			sequence.onToken();
		}

		// The callback may have crashed the engine or cancelled the sequence.
		if (sequence.outputTokens === 0 && this.#running.includes(sequence)) {
			this.remove(sequence);
			sequence.onDone();
		}
	}

	#stopTimerWhenIdle(): void {
		if (this.#running.length + this.#waiting.length === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}
}
