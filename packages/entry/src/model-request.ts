/**
 * Runs a model request: chooses an endpoint, runs an attempt there, and decides after each failure whether another
 * endpoint continues with the tokens delivered so far.
 */
import {
	decideRetry, type FailureKind, type Ran,
} from '@hawthorncleat/core';
import type {RequestStartParams} from '@hawthorncleat/schema';
import {
	combineRan, fitsLine, giveUp, type AttemptFailure,
} from './attempt-failure.js';
import {callerError} from './caller-errors.js';
import type {AnswerEnd} from './completion-format.js';
import type {EngineChoice} from './engine-choice.js';
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

/** State of a request over its attempts. */
class ModelRun {
	readonly #request: ModelRequest;
	readonly #context: RequestContext;
	readonly #delivery: Delivery;
	readonly #tried = new Set<Endpoint>();
	readonly #failures: FailureKind[] = [];
	#ran: Ran = 'not-run';
	#lastFailure: AttemptFailure | undefined;

	constructor(request: ModelRequest, onTokens: (tokens: readonly string[]) => void, context: RequestContext) {
		this.#request = request;
		this.#context = context;
		this.#delivery = {tokens: [], bytes: 0, onTokens};
	}

	async run(signal: AbortSignal): Promise<AnswerEnd> {
		this.#context.budget.countFirstAttempt();
		for (;;) {
			const outcome = await this.#attempt(this.#chooseEndpoint(), signal);
			if (outcome.kind === 'end') {
				// The entry's own count covers the tokens of all attempts.
				return {...outcome.end, outputTokens: this.#delivery.tokens.length};
			}

			signal.throwIfAborted();
			this.#noteFailure(outcome.failure);
		}
	}

	#chooseEndpoint(): Endpoint {
		const {suspects, pool, timings, engineChoice} = this.#context;
		const {fingerprint, route, tokens, prompt} = this.#request;
		const suspicion = suspects.judge(fingerprint);
		if (suspicion === 'quarantined') {
			const retryAfterMs = suspects.retryAfterMs(fingerprint);
			const ran = this.#tried.size === 0 ? 'not-run' : 'ran';
			throw callerError('request-quarantined', 'engines crashed while they ran this request', {ran, retryAfterMs});
		}

		const available = pool.available(route.service.name, this.#tried);
		const isSuspect = suspicion === 'suspect';
		const endpoint = engineChoice
			? this.#chooseEngine(engineChoice, available, isSuspect)
			: pickEndpoint(available, {
				kind: 'model', tokens, prompt, isSuspect,
			}, this.#context);
		if (!endpoint) {
			throw giveUp(this.#lastFailure, this.#ran, timings.retryAfterMs);
		}

		return endpoint;
	}

	#chooseEngine(engineChoice: EngineChoice, available: readonly Endpoint[], isSuspect: boolean): Endpoint | undefined {
		const {prompt, maxTokens, route, admittedMs} = this.#request;
		const choice = engineChoice.choose(available, {
			prompt,
			maxTokens,
			isSuspect,
			firstTokenMs: route.route.firstTokenMs,
			elapsedMs: this.#context.clock.nowMs() - admittedMs,
			// Work that has begun is finished even if it is late.
			mayRefuse: this.#tried.size === 0,
		});
		if (choice && 'retryAfterMs' in choice) {
			this.#context.metrics.refusedByEstimate.inc();
			throw callerError('overloaded', 'the first token would come too late', {retryAfterMs: choice.retryAfterMs});
		}

		return choice?.endpoint;
	}

	async #attempt(endpoint: Endpoint, signal: AbortSignal): Promise<AttemptOutcome> {
		const {telemetry, timings, suspects} = this.#context;
		const isSuspect = suspects.judge(this.#request.fingerprint) === 'suspect';
		const span = telemetry.startSpan('entry.attempt', this.#request.traceparent);
		this.#tried.add(endpoint);
		const params = this.#startParams(endpoint, span.traceparent, isSuspect);
		this.#refuseLongLine(params);
		endpoint.dispatchedTokens += this.#request.tokens;
		endpoint.runningSuspects += isSuspect ? 1 : 0;
		const noteEnd = this.#context.engineChoice?.dispatched(endpoint, this.#request);
		try {
			const {progressLimitMs, resumeWaitMs} = timings;
			const outcome = await new StreamAttempt({
				endpoint, params, delivery: this.#delivery, progressLimitMs, resumeWaitMs,
			}).run(signal);
			this.#noteCrash(endpoint, outcome);
			return outcome;
		} finally {
			noteEnd?.();
			endpoint.runningSuspects -= isSuspect ? 1 : 0;
			span.end();
		}
	}

	#startParams(endpoint: Endpoint, traceparent: string, isSuspect: boolean): RequestStartParams {
		const {requestId, clientAccount, route, weight, prompt, maxTokens, fingerprint, admittedMs} = this.#request;
		const elapsedMs = this.#context.clock.nowMs() - admittedMs;
		return {
			requestId,
			attempt: this.#tried.size,
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

	#noteFailure(failure: AttemptFailure): void {
		const {budget, metrics, timings} = this.#context;
		const state = {attempts: this.#tried.size, idempotent: true, earlier: [...this.#failures]};
		this.#failures.push(failure.kind);
		this.#lastFailure = failure;
		this.#ran = combineRan(this.#ran, this.#delivery.tokens.length > 0 ? 'ran' : failure.ran);
		const decision = decideRetry(failure.kind, state, budget);
		if (!decision.retry) {
			throw giveUp(failure, this.#ran, timings.retryAfterMs);
		}

		metrics.retries.inc({failure: failure.kind});
	}
}

/** Runs a model request to its end, or throws its final error. Tokens reach `onTokens` in order and once. */
export const runModelRequest = async (
	request: ModelRequest,
	onTokens: (tokens: readonly string[]) => void,
	context: RequestContext,
	signal: AbortSignal,
): Promise<AnswerEnd> => new ModelRun(request, onTokens, context).run(signal);
