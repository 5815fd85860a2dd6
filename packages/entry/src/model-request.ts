/**
 * Runs a model request: chooses an endpoint, runs an attempt there, and decides after each failure whether another
 * endpoint continues with the tokens delivered so far.
 */
import {
	decideRetry, isRequestError, type FailureKind, type Ran,
} from '@hawthorncleat/core';
import type {KvHandle, RequestStartParams} from '@hawthorncleat/schema';
import {
	combineRan, fitsLine, giveUp, type AttemptFailure,
} from './attempt-failure.js';
import {callerError} from './caller-errors.js';
import type {AnswerEnd} from './completion-format.js';
import type {EngineRequest} from './engine-choice.js';
import {pickEndpoint} from './endpoint-pool.js';
import type {Endpoint} from './endpoint.js';
import type {AdmittedRequest, RequestContext} from './request-context.js';
import {StreamAttempt, type AttemptOutcome, type Delivery} from './stream-attempt.js';

/** A model request that has been admitted. */
export type ModelRequest = AdmittedRequest & {
	readonly weight: number;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Estimated tokens of work, prompt and answer. */
	readonly tokens: number;
};

type AttemptStage = {readonly stage: 'decode' | 'prefill' | 'whole'; readonly kv?: KvHandle};

const wholeAnswer: AttemptStage = {stage: 'whole'};

/** Whether a retry is safe is asked first; it is taken from the budget once its endpoint is known. */
const unlimitedBudget = {take: () => true};

/** The endpoint of an attempt, and what it is to do there first. */
type NextAttempt = {readonly endpoint: Endpoint; readonly stage: 'prefill' | 'whole'};

/** State of a request over its attempts. */
class ModelRun {
	readonly #request: ModelRequest;
	readonly #context: RequestContext;
	readonly #delivery: Delivery;
	readonly #tried = new Set<Endpoint>();
	/** Engines that were asked only for the prompt; they are no attempts of the answer. */
	readonly #prefillers = new Set<Endpoint>();
	readonly #failures: FailureKind[] = [];
	#ran: Ran = 'not-run';
	#lastFailure: AttemptFailure | undefined;
	/** Chosen, and granted by the retry budget, while the attempt before it still ran. */
	#nextAttempt: NextAttempt | undefined;

	constructor(request: ModelRequest, onTokens: (tokens: readonly string[]) => void, context: RequestContext) {
		this.#request = request;
		this.#context = context;
		this.#delivery = {tokens: [], bytes: 0, onTokens};
	}

	async run(signal: AbortSignal): Promise<AnswerEnd> {
		const {budget, demand} = this.#context;
		const {route, prompt, maxTokens} = this.#request;
		budget.countFirstAttempt();
		demand.arrived(route.service.name, prompt, maxTokens);
		this.#refuseOverShare();
		for (;;) {
			const {endpoint, stage} = this.#nextAttempt ?? this.#chooseEndpoint();
			this.#nextAttempt = undefined;
			const outcome = await (stage === 'prefill' ? this.#runSplit(endpoint, signal) : this.#attempt(endpoint, signal));
			if (outcome.kind === 'end') {
				demand.answered(route.service.name, {...outcome.end, maxTokens});
				// The entry's own count covers the tokens of all attempts.
				return {...outcome.end, outputTokens: this.#delivery.tokens.length};
			}

			this.#throwIfAborted(signal, outcome.failure);
			this.#noteFailure(outcome.failure);
		}
	}

	#refuseOverShare(): void {
		const {fairAdmission, metrics} = this.#context;
		const {clientAccount, route, weight, prompt, maxTokens} = this.#request;
		const retryAfterMs = fairAdmission.hold({
			service: route.service.name, account: clientAccount, weight, prompt, maxTokens,
		});
		if (retryAfterMs !== undefined) {
			metrics.refusedOverShare.inc();
			throw callerError('overloaded', 'the account asks for more than its share of the engines', {retryAfterMs});
		}
	}

	/** An answer that is not whole at the deadline has run, which the caller is told. */
	#throwIfAborted(signal: AbortSignal, failure: AttemptFailure): void {
		if (!signal.aborted) {
			return;
		}

		const {reason} = signal as {reason: unknown};
		if (isRequestError(reason) && this.#delivery.tokens.length > 0) {
			throw giveUp({...failure, kind: 'no-progress'}, 'ran', this.#context.timings.retryAfterMs);
		}

		throw reason;
	}

	#chooseEndpoint(): NextAttempt {
		const {suspects, pool, timings, choose} = this.#context;
		const {fingerprint, route, tokens, prompt} = this.#request;
		const suspicion = suspects.classify(fingerprint);
		if (suspicion === 'quarantined') {
			const retryAfterMs = suspects.retryAfterMs(fingerprint);
			const ran = this.#tried.size === 0 ? 'not-run' : 'ran';
			throw callerError('request-quarantined', 'engines crashed while they ran this request', {ran, retryAfterMs});
		}

		const available = pool.available(route.service.name, new Set([...this.#tried, ...this.#prefillers]));
		const isSuspect = suspicion === 'suspect';
		if (!choose) {
			return this.#chooseEngine(available, isSuspect);
		}

		const endpoint = pickEndpoint(available, {
			kind: 'model', tokens, prompt, isSuspect,
		}, choose, this.#context);
		if (!endpoint) {
			throw giveUp(this.#lastFailure, this.#ran, timings.retryAfterMs);
		}

		return {endpoint, stage: 'whole'};
	}

	#chooseEngine(available: readonly Endpoint[], isSuspect: boolean): NextAttempt {
		const choice = this.#context.engineChoice.choose(available, this.#describe(isSuspect));
		if (choice && 'retryAfterMs' in choice) {
			this.#context.metrics.refusedByEstimate.inc();
			throw callerError('overloaded', 'the answer would come too late', {retryAfterMs: choice.retryAfterMs});
		}

		if (!choice) {
			throw giveUp(this.#lastFailure, this.#ran, this.#context.timings.retryAfterMs);
		}

		return choice;
	}

	#describe(isSuspect: boolean): EngineRequest {
		const {prompt, maxTokens, route, admittedMs} = this.#request;
		const isFirst = this.#tried.size + this.#prefillers.size === 0;
		return {
			prompt,
			maxTokens,
			expectedOutput: this.#context.demand.expectOutput(route.service.name, maxTokens),
			isSuspect,
			firstTokenMs: route.route.firstTokenMs,
			elapsedMs: this.#context.clock.nowMs() - admittedMs,
			// Work that has begun is finished even if it is late, and without a second try of the split.
			mayRefuse: isFirst,
			maySplit: isFirst,
		};
	}

	/** Lets a prefill engine compute the prompt and another engine continue with its KV cache. */
	async #runSplit(prefiller: Endpoint, signal: AbortSignal): Promise<AttemptOutcome> {
		const {pool, engineChoice, suspects} = this.#context;
		const {route, fingerprint} = this.#request;
		this.#prefillers.add(prefiller);
		const prefilled = await this.#attempt(prefiller, signal, {stage: 'prefill'});
		if (prefilled.kind === 'failed' || signal.aborted) {
			return prefilled;
		}

		const available = pool.available(route.service.name, this.#prefillers);
		const isSuspect = suspects.classify(fingerprint) === 'suspect';
		const endpoint = engineChoice.chooseDecode(available, this.#describe(isSuspect));
		return endpoint
			? this.#attempt(endpoint, signal, {stage: 'decode', kv: prefilled.end.kv})
			: {kind: 'failed', isCrash: false, failure: {kind: 'refused', ran: 'ran', code: 'no-endpoint'}};
	}

	async #attempt(endpoint: Endpoint, signal: AbortSignal, {stage, kv}: AttemptStage = wholeAnswer): Promise<AttemptOutcome> {
		const {telemetry, timings, suspects} = this.#context;
		const isSuspect = suspects.classify(this.#request.fingerprint) === 'suspect';
		const span = telemetry.startSpan('entry.attempt', this.#request.traceparent);
		if (stage !== 'prefill') {
			this.#tried.add(endpoint);
		}

		const params = {...this.#startParams(endpoint, span.traceparent, isSuspect), ...(kv && {kv})};
		this.#refuseLongLine(params);
		endpoint.dispatchedTokens += this.#request.tokens;
		endpoint.runningSuspects += isSuspect ? 1 : 0;
		const noteEnd = this.#context.engineChoice.dispatched(endpoint, this.#request, stage);
		try {
			const {progressLimitMs, resumeWaitMs} = timings;
			const outcome = await new StreamAttempt({
				endpoint,
				params,
				delivery: this.#delivery,
				method: stage === 'prefill' ? 'request.prefill' : 'request.start',
				progressLimitMs,
				resumeWaitMs,
				claimNextAttempt: failure => this.#claimNextAttempt(failure),
			}).run(signal);
			this.#noteCrash(endpoint, outcome);
			return outcome;
		} finally {
			noteEnd();
			endpoint.runningSuspects -= isSuspect ? 1 : 0;
			span.end();
		}
	}

	#startParams(endpoint: Endpoint, traceparent: string, isSuspect: boolean): RequestStartParams {
		const {requestId, clientAccount, route, weight, prompt, maxTokens, fingerprint, admittedMs} = this.#request;
		const elapsedMs = this.#context.clock.nowMs() - admittedMs;
		return {
			requestId,
			// A prefill is the first message of a request to its engine.
			attempt: Math.max(1, this.#tried.size),
			incarnation: endpoint.incarnation,
			clientAccount,
			weight,
			priority: route.route.priority,
			model: route.modelVersion?.name ?? route.service.name,
			prompt,
			maxTokens,
			delivered: [...this.#delivery.tokens],
			firstTokenInMs: Math.max(0, Math.floor(route.route.firstTokenMs - elapsedMs)),
			fingerprint,
			suspect: isSuspect,
			traceparent,
		};
	}

	#refuseLongLine(params: RequestStartParams): void {
		const textLength = params.prompt.length + this.#delivery.bytes + (4 * params.delivered.length);
		if (fitsLine(params, textLength)) {
			return;
		}

		if (this.#ran === 'not-run') {
			throw callerError('body-too-large', 'the prompt is too large to be sent to an endpoint');
		}

		throw giveUp(this.#lastFailure, this.#ran, this.#context.timings.retryAfterMs);
	}

	#noteCrash(endpoint: Endpoint, outcome: AttemptOutcome): void {
		if (outcome.kind === 'failed' && outcome.isCrash) {
			this.#context.markCrash([this.#request.fingerprint], endpoint.id);
		}
	}

	/** Chooses the endpoint that takes over from a stalled attempt and takes the retry from the budget. Returns whether both succeeded. */
	#claimNextAttempt(failure: FailureKind): boolean {
		const nextAttempt = this.#findNextAttempt();
		if (!nextAttempt || !this.#mayRetry(failure, this.#context.budget)) {
			return false;
		}

		this.#nextAttempt = nextAttempt;
		return true;
	}

	#findNextAttempt(): NextAttempt | undefined {
		try {
			const nextAttempt = this.#chooseEndpoint();
			this.#refuseLongLine(this.#startParams(nextAttempt.endpoint, this.#request.traceparent, false));
			return nextAttempt;
		} catch (error) {
			if (!isRequestError(error)) {
				throw error;
			}

			return undefined;
		}
	}

	#mayRetry(kind: FailureKind, budget: {take(): boolean}): boolean {
		const state = {attempts: this.#tried.size, idempotent: true, earlier: [...this.#failures]};
		return decideRetry(kind, state, budget).retry;
	}

	#noteFailure(failure: AttemptFailure): void {
		const isRetryable = this.#mayRetry(failure.kind, unlimitedBudget);
		this.#failures.push(failure.kind);
		this.#lastFailure = failure;
		this.#ran = combineRan(this.#ran, this.#delivery.tokens.length > 0 ? 'ran' : failure.ran);
		if (!this.#nextAttempt && !(isRetryable && this.#planRetry())) {
			throw giveUp(failure, this.#ran, this.#context.timings.retryAfterMs);
		}

		this.#context.metrics.retries.inc({failure: failure.kind});
	}

	/** Chooses the next endpoint, or throws, before it takes the retry from the budget. Returns whether there was one. */
	#planRetry(): boolean {
		const nextAttempt = this.#chooseEndpoint();
		if (!this.#context.budget.take()) {
			return false;
		}

		this.#nextAttempt = nextAttempt;
		return true;
	}
}

/** Runs a model request to its end, or throws its final error. Tokens reach `onTokens` in order and once. */
export const runModelRequest = async (
	request: ModelRequest,
	onTokens: (tokens: readonly string[]) => void,
	context: RequestContext,
	signal: AbortSignal,
): Promise<AnswerEnd> => new ModelRun(request, onTokens, context).run(signal);
