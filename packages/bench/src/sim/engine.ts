/**
 * A small fake engine: continuous batching on a step clock, a bounded prefix cache, three roles and a role change that
 * takes it away for seconds. A plain service is an engine in the role `service` that only has the first stage.
 */
import {
	prefillChunkMs, estimateMsPerToken, servesStage, type EngineRates, type EngineRole, type LoadReading,
} from '@hawthorncleat/core';
import {kvTokens, type Job, type JobQueue} from './job.js';
import type {PrefixCache} from './prefix-cache.js';
import type {Scheduler} from './scheduler.js';

export type EngineSpec = {
	readonly id: string;
	readonly dataCentre: string;
	readonly rates: EngineRates;
	readonly kvCapacityTokens: number;
	readonly changeMs: number;
};

/** What the fleet does with the jobs that leave an engine. */
export type EngineHooks = {
	/** Asked when a queued job would start; false drops it. */
	mayStart(job: Job, engine: FakeEngine): boolean;
	/** The prompt is done on an engine that does not decode, or the engine changes its role: decode elsewhere. */
	decodeElsewhere(job: Job, engine: FakeEngine): void;
	/** A queued job has to be placed again. */
	returned(job: Job, engine: FakeEngine): void;
	/** The engine has crashed under the job. */
	crashed(job: Job, engine: FakeEngine): void;
	firstToken(job: Job, engine: FakeEngine): void;
	finished(job: Job, engine: FakeEngine): void;
};

export type EngineParts = {
	readonly queue: JobQueue;
	readonly cache: PrefixCache;
	readonly scheduler: Scheduler;
	readonly hooks: EngineHooks;
	/** Requests that the agent gives to the engine at a time. */
	readonly places: (engine: FakeEngine) => number;
};

export type EngineStatus = 'away' | 'draining' | 'lost' | 'up';

export class FakeEngine {
	readonly queue: JobQueue;
	status: EngineStatus = 'up';
	/** The role, or the target of a running change. */
	role: EngineRole;
	kvUsed = 0;
	running = 0;
	#prefilling: Job | undefined;
	#decodeWaiting: Job[] = [];
	readonly #ends = new Map<number, Job[]>();
	#step = 0;
	#stepping = false;
	/** Invalidates scheduled events after a crash. */
	#epoch = 0;

	constructor(readonly spec: EngineSpec, role: EngineRole, private readonly parts: EngineParts) {
		this.role = role;
		this.queue = parts.queue;
	}

	get accepts(): boolean {
		return this.status === 'up';
	}

	/** Prompt tokens ahead of a new job of the account. */
	promptAhead(account: string): number {
		return this.queue.waitingAhead(account) + (this.#prefilling?.promptLeft ?? 0);
	}

	get waitingTokens(): number {
		return this.queue.waitingTokens + (this.#prefilling?.promptLeft ?? 0);
	}

	/** Requests that decode here or will. */
	get decodeLoad(): number {
		// The calls of a plain service count as running, since its agent knows no more of them.
		const own = this.role === 'mixed' || this.role === 'service' ? this.queue.size + (this.#prefilling ? 1 : 0) : 0;
		return this.running + this.#decodeWaiting.length + own;
	}

	read(): LoadReading {
		return {
			role: this.role,
			running: this.running,
			waiting: this.decodeLoad - this.running,
			waitingTokens: this.waitingTokens,
			freeTokens: this.spec.kvCapacityTokens - this.kvUsed,
			prefixes: this.parts.cache.advertised,
			leaving: !this.accepts,
		};
	}

	enqueue(job: Job): void {
		job.endpoint = this.spec.id;
		this.queue.push(job);
		this.#kick();
	}

	/** Takes a job whose KV cache has arrived. */
	enqueueDecode(job: Job): void {
		job.endpoint = this.spec.id;
		this.#decodeWaiting.push(job);
		this.#kick();
	}

	/** Starts a role change: running work moves elsewhere after the step, then the engine is away. */
	changeRole(role: EngineRole): void {
		this.role = role;
		this.status = 'draining';
		for (let job = this.queue.pop(); job; job = this.queue.pop()) {
			this.parts.hooks.returned(job, this);
		}

		if (!this.#stepping) {
			this.#goAway();
		}
	}

	crash(): void {
		this.#epoch++;
		this.status = 'lost';
		this.#stepping = false;
		for (let job = this.queue.pop(); job; job = this.queue.pop()) {
			this.parts.hooks.returned(job, this);
		}

		for (const job of this.#takeAll()) {
			this.parts.hooks.crashed(job, this);
		}
	}

	restart(): void {
		this.#epoch++;
		this.status = 'up';
		this.parts.cache.clear();
	}

	#later(delayMs: number, run: () => void): void {
		const epoch = this.#epoch;
		this.parts.scheduler.after(delayMs, () => {
			if (epoch === this.#epoch) {
				run();
			}
		});
	}

	#takeAll(): Job[] {
		const jobs = [...this.#decodeWaiting];
		for (const [endStep, ending] of this.#ends) {
			for (const job of ending) {
				job.outputLeft = endStep - this.#step;
				jobs.push(job);
			}
		}

		if (this.#prefilling) {
			jobs.push(this.#prefilling);
		}

		this.#prefilling = undefined;
		this.#decodeWaiting = [];
		this.#ends.clear();
		this.running = 0;
		this.kvUsed = 0;
		return jobs;
	}

	#goAway(): void {
		const unfinished = this.#prefilling;
		this.#prefilling = undefined;
		for (const job of this.#takeAll()) {
			this.parts.hooks.decodeElsewhere(job, this);
		}

		if (unfinished) {
			this.parts.hooks.returned(unfinished, this);
		}

		this.status = 'away';
		this.parts.cache.clear();
		this.#later(this.spec.changeMs, () => {
			this.status = 'up';
		});
	}

	#kick(): void {
		if (!this.#stepping && this.status === 'up') {
			this.#startStep();
		}
	}

	#startStep(): void {
		this.#joinBatch();
		const prompt = this.role === 'decode' ? 0 : this.#takePrompt();
		if (this.running === 0 && prompt === 0) {
			return;
		}

		this.#stepping = true;
		const promptMs = prompt * prefillChunkMs(this.spec.rates) / this.spec.rates.chunkTokens;
		const decodeMs = this.running > 0 ? estimateMsPerToken(this.spec.rates, this.running, false) : 0;
		this.#later(promptMs + decodeMs, () => {
			this.#endStep(prompt);
		});
	}

	/** Prompt tokens of the next step: a chunk on a mixed engine, the whole prompt on a prefill engine. */
	#takePrompt(): number {
		this.#prefilling ??= this.#nextJob();
		const left = this.#prefilling?.promptLeft ?? 0;
		return this.role === 'mixed' ? Math.min(left, this.spec.rates.chunkTokens) : left;
	}

	#nextJob(): Job | undefined {
		if (this.role === 'mixed' && this.running + this.#decodeWaiting.length >= this.parts.places(this)) {
			return undefined;
		}

		for (let job = this.queue.pop(); job; job = this.queue.pop()) {
			if (this.parts.hooks.mayStart(job, this)) {
				const {prefix, promptTokens} = job.request;
				const cached = prefix ? this.parts.cache.lookUp(prefix.prefix) : 0;
				job.cachedTokens = cached;
				job.promptLeft = Math.max(1, promptTokens - cached);
				return job;
			}
		}

		return undefined;
	}

	#joinBatch(): void {
		while (this.#decodeWaiting.length > 0 && this.#fits(this.#decodeWaiting[0]!)) {
			this.#join(this.#decodeWaiting.shift()!);
		}
	}

	#fits(job: Job): boolean {
		return this.running < this.spec.rates.maxRunning
			&& this.kvUsed + kvTokens(job.request) <= this.spec.kvCapacityTokens;
	}

	#join(job: Job): void {
		this.running++;
		this.kvUsed += kvTokens(job.request);
		const endStep = this.#step + job.outputLeft;
		this.#ends.set(endStep, [...this.#ends.get(endStep) ?? [], job]);
	}

	#endStep(prompt: number): void {
		this.#stepping = false;
		this.#step++;
		for (const job of this.#ends.get(this.#step) ?? []) {
			this.running--;
			this.kvUsed -= kvTokens(job.request);
			this.parts.hooks.finished(job, this);
		}

		this.#ends.delete(this.#step);
		this.#endPrompt(prompt);
		if (this.status === 'draining') {
			this.#goAway();
		} else {
			this.#kick();
		}
	}

	#endPrompt(prompt: number): void {
		const job = this.#prefilling;
		if (!job || prompt === 0) {
			return;
		}

		job.promptLeft -= prompt;
		if (job.promptLeft > 0) {
			return;
		}

		this.#prefilling = undefined;
		const {prefix} = job.request;
		if (prefix) {
			this.parts.cache.insert(prefix.prefix, prefix.tokens);
		}

		job.outputLeft--;
		this.parts.hooks.firstToken(job, this);
		if (job.outputLeft <= 0) {
			this.parts.hooks.finished(job, this);
		} else if (servesStage(this.role, 'decode') && this.status === 'up') {
			this.#decodeWaiting.push(job);
		} else {
			this.parts.hooks.decodeElsewhere(job, this);
		}
	}
}
