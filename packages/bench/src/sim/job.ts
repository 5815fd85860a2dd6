/**
 * A request on its way through the simulated fleet.
 */
import type {PromptPrefix} from '@hawthorncleat/core';

/** A request as the workload generates it. */
export type SimRequest = {
	readonly id: string;
	readonly kind: 'desk' | 'model';
	readonly account: number;
	readonly weight: number;
	/** Index of the entry that the load balancer picked. */
	readonly entry: number;
	readonly arrivedMs: number;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** The caller's limit, which the decisions see instead of the output. */
	readonly maxTokens: number;
	readonly prefix?: PromptPrefix;
};

/** State of one request; also the item of an agent's queue. */
export type Job = {
	readonly id: string;
	readonly account: string;
	readonly weight: number;
	/** Work in tokens, as the agent estimates it. */
	readonly tokens: number;
	readonly request: SimRequest;
	/** Prompt tokens that still need work; set when the prefill starts. */
	promptLeft: number;
	/** Prompt tokens that the engine found in its cache. */
	cachedTokens: number;
	/** Output tokens still to come. */
	outputLeft: number;
	attempts: number;
	firstTokenMs?: number;
	/** Endpoint that holds the job. */
	endpoint?: string;
};

/** Starts the state of a request that has arrived. */
export const createJob = (request: SimRequest): Job => ({
	id: request.id,
	account: String(request.account),
	weight: request.weight,
	tokens: request.promptTokens,
	request,
	promptLeft: 0,
	cachedTokens: 0,
	outputLeft: request.outputTokens,
	attempts: 0,
});

/** The queue of an agent. */
export type JobQueue = {
	readonly size: number;
	readonly waitingTokens: number;
	push(job: Job): void;
	pop(): Job | undefined;
	waitingAhead(account: string): number;
};

/** First-in first-out queue of the baselines. */
export class FifoQueue implements JobQueue {
	#tokens = 0;
	readonly #jobs: Job[] = [];

	get size(): number {
		return this.#jobs.length;
	}

	get waitingTokens(): number {
		return this.#tokens;
	}

	push(job: Job): void {
		this.#jobs.push(job);
		this.#tokens += job.tokens;
	}

	pop(): Job | undefined {
		const job = this.#jobs.shift();
		this.#tokens -= job?.tokens ?? 0;
		return job;
	}

	waitingAhead(): number {
		return this.#tokens;
	}
}

/** KV cache that a request takes at its end. */
export const kvTokens = (request: SimRequest): number => request.promptTokens + request.outputTokens;
