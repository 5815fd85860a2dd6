/**
 * Continuous batching of the stand-in engine. Each step spends a budget of prefill tokens on running sequences and then
 * adds one token to each sequence whose prefill is complete. Waiting sequences enter by priority, higher numbers first.
 */

/** One piece of work. A prefill has `outputTokens` 0. */
export type Sequence = {
	readonly requestId: string;
	readonly priority: number;
	/** Tokens to prefill that no cache provided. */
	prefillTokens: number;
	/** Tokens still to generate. */
	outputTokens: number;
	/** KV memory that the sequence occupies while it runs. */
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

/** Runs sequences in steps. The step timer exists only while there is work. */
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
		const used = this.#running.reduce((sum, sequence) => sum + sequence.kvTokens, 0);
		return Math.max(0, this.#options.kvTokens - used);
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
		this.#stopWhenIdle();
	}

	clear(): void {
		this.#waiting = [];
		this.#running = [];
		this.#stopWhenIdle();
	}

	#step(): void {
		this.#startWaiting();
		this.#prefill();
		for (const sequence of this.#running.filter(sequence => this.#prefilled.has(sequence))) {
			this.#generate(sequence);
		}

		this.#stopWhenIdle();
	}

	#startWaiting(): void {
		while (this.#waiting.length > 0 && this.#fits(this.#waiting[0]!)) {
			this.#running.push(this.#waiting.shift()!);
		}
	}

	#fits(sequence: Sequence): boolean {
		// A sequence larger than the memory runs alone, so that it cannot block the queue forever.
		return this.#running.length === 0
			|| (this.#running.length < this.#options.maxRunning && sequence.kvTokens <= this.kvFreeTokens);
	}

	#prefill(): void {
		let budget = this.#options.prefillTokensPerStep;
		for (const sequence of this.#running.filter(sequence => !this.#prefilled.has(sequence))) {
			const spent = Math.min(budget, sequence.prefillTokens);
			sequence.prefillTokens -= spent;
			budget -= spent;
			if (sequence.prefillTokens === 0) {
				this.#prefilled.add(sequence);
				sequence.onPrefilled?.();
			}
		}
	}

	#generate(sequence: Sequence): void {
		if (sequence.outputTokens > 0) {
			sequence.outputTokens -= 1;
			sequence.onToken();
		}

		// The callback may have crashed or cancelled the work.
		if (sequence.outputTokens === 0 && this.#running.includes(sequence)) {
			this.remove(sequence);
			sequence.onDone();
		}
	}

	#stopWhenIdle(): void {
		if (this.#running.length + this.#waiting.length === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}
}
