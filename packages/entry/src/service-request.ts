/**
 * Runs a call of a plain service. An idempotent call may be tried again; an action is sent on only after a refusal by
 * the only agent that received it.
 */
import {type Buffer} from 'node:buffer';
import {
	decideRetry, isRequestError, type FailureKind, type Ran, type RequestError,
} from '@hawthorncleat/core';
import {
	validate, validators, type ActionRef, type Headers, type ServiceCallParams, type ServiceCallResult,
} from '@hawthorncleat/schema';
import {
	classifyCallError, combineRan, fitsLine, giveUp, type AttemptFailure,
} from './attempt-failure.js';
import {callerError} from './caller-errors.js';
import {pickEndpoint} from './endpoint-pool.js';
import type {Endpoint} from './endpoint.js';
import type {AdmittedRequest, RequestContext} from './request-context.js';

/** A service call that has been admitted. */
export type ServiceRequest = AdmittedRequest & {
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Headers;
	readonly body: Buffer;
	readonly action?: ActionRef;
};

/** Lets the agent's own timeout answer first. */
const timeoutGraceMs = 250;
const serverErrorStatus = 500;

type AttemptResult = {readonly answer: ServiceCallResult} | {readonly failure: AttemptFailure};

/** Checks an answer of a service as it came over the wire or out of a recorded claim. */
export const checkServiceAnswer = (value: unknown): ServiceCallResult | undefined => {
	const checked = validate<ServiceCallResult>(validators.validateServiceCallResult, value);
	const isFinal = checked.ok && checked.value.status >= 200 && checked.value.status <= 599;
	return isFinal ? checked.value : undefined;
};

/** State of a call over its attempts. */
class ServiceRun {
	readonly #request: ServiceRequest;
	readonly #context: RequestContext;
	readonly #tried = new Set<Endpoint>();
	readonly #failures: FailureKind[] = [];
	#ran: Ran = 'not-run';
	#lastFailure: AttemptFailure | undefined;
	/** A server error that is tried again. The caller gets it unless a later attempt is answered. */
	#errorAnswer: ServiceCallResult | undefined;

	constructor(request: ServiceRequest, context: RequestContext) {
		this.#request = request;
		this.#context = context;
	}

	get #remainingMs(): number {
		const {route, admittedMs} = this.#request;
		return Math.floor(route.route.timeoutMs - (this.#context.clock.nowMs() - admittedMs));
	}

	async run(signal: AbortSignal): Promise<ServiceCallResult> {
		this.#context.budget.countFirstAttempt();
		try {
			return await this.#runAttempts(signal);
		} catch (error) {
			if (this.#errorAnswer && isRequestError(error)) {
				return this.#errorAnswer;
			}

			throw error;
		}
	}

	async #runAttempts(signal: AbortSignal): Promise<ServiceCallResult> {
		for (;;) {
			const endpoint = this.#chooseEndpoint();
			const result = await this.#attempt(endpoint, signal);
			if ('answer' in result && !this.#isRetriedAnswer(result.answer)) {
				return result.answer;
			}

			signal.throwIfAborted();
			this.#noteFailure(result);
		}
	}

	#chooseEndpoint(): Endpoint {
		const {timings} = this.#context;
		const endpoint = this.#remainingMs > 0 ? this.#pick() : undefined;
		if (!endpoint) {
			throw this.#final(giveUp(this.#lastFailure, this.#ran, timings.retryAfterMs));
		}

		return endpoint;
	}

	#pick(): Endpoint | undefined {
		const {pool, choose, serviceChoice} = this.#context;
		const {route, path} = this.#request;
		const available = pool.available(route.service.name, this.#tried);
		const request = {
			kind: 'service', tokens: 1, prompt: path, isSuspect: false,
		} as const;
		return choose ? pickEndpoint(available, request, choose, this.#context) : serviceChoice.choose(available);
	}

	async #attempt(endpoint: Endpoint, signal: AbortSignal): Promise<AttemptResult> {
		const span = this.#context.telemetry.startSpan('entry.service-call', this.#request.traceparent);
		this.#tried.add(endpoint);
		const params = this.#callParams(endpoint, span.traceparent);
		if (!fitsLine(params, params.bodyBase64.length + params.path.length)) {
			throw callerError('body-too-large', 'the request is too large to be sent to an endpoint');
		}

		endpoint.openCalls += 1;
		endpoint.dispatchedTokens += 1;
		const noteEnd = this.#context.serviceChoice.started(endpoint);
		let result: AttemptResult | undefined;
		try {
			result = await this.#call(endpoint, params, signal);
			return result;
		} finally {
			noteEnd(result !== undefined && 'answer' in result);
			endpoint.openCalls -= 1;
			span.end();
		}
	}

	async #call(endpoint: Endpoint, params: ServiceCallParams, signal: AbortSignal): Promise<AttemptResult> {
		const {peer} = endpoint;
		if (!peer) {
			return {failure: {kind: 'not-connected', ran: 'not-run', code: 'connection-closed'}};
		}

		const cancel = (): void => {
			peer.notify('request.cancel', {requestId: params.requestId, attempt: params.attempt});
		};

		// An action is never cancelled: its outcome has to be recorded.
		const cancelSignal = this.#request.action ? undefined : signal;
		cancelSignal?.addEventListener('abort', cancel, {once: true});
		try {
			const timeoutMs = params.timeoutMs + timeoutGraceMs;
			const answer = checkServiceAnswer(await peer.call('service.call', params, {timeoutMs}));
			return answer ? {answer} : {failure: {kind: 'invalid-response', ran: 'unknown', code: 'invalid-response'}};
		} catch (error) {
			return {failure: classifyCallError(error)};
		} finally {
			cancelSignal?.removeEventListener('abort', cancel);
		}
	}

	#callParams(endpoint: Endpoint, traceparent: string): ServiceCallParams {
		const {requestId, clientAccount, route, method, path, headers, body, fingerprint, action} = this.#request;
		return {
			requestId,
			attempt: this.#tried.size,
			incarnation: endpoint.incarnation,
			clientAccount,
			service: route.service.name,
			method,
			path,
			headers,
			bodyBase64: body.toString('base64'),
			timeoutMs: Math.max(1, this.#remainingMs),
			fingerprint,
			...(action && {action: endpoint.addressAction(action)}),
			traceparent,
		};
	}

	/** A server error of an idempotent call is tried once more if another endpoint and the budget allow it. */
	#isRetriedAnswer(answer: ServiceCallResult): boolean {
		const isCandidate = answer.status >= serverErrorStatus && !this.#request.action;
		return isCandidate && !this.#failures.includes('service-error') && this.#retryAllowed('service-error');
	}

	/** Looks for another endpoint before it takes a retry from the budget. */
	#retryAllowed(kind: FailureKind): boolean {
		const {budget, pool} = this.#context;
		const hasEndpoint = pool.available(this.#request.route.service.name, this.#tried).length > 0;
		if (!hasEndpoint || this.#remainingMs <= 0) {
			return false;
		}

		const state = {attempts: this.#tried.size, idempotent: !this.#request.action, earlier: [...this.#failures]};
		return decideRetry(kind, state, budget).retry;
	}

	#noteFailure(result: AttemptResult): void {
		const {metrics, timings} = this.#context;
		if ('answer' in result) {
			this.#errorAnswer = result.answer;
			this.#failures.push('service-error');
			this.#ran = 'ran';
			this.#lastFailure = {kind: 'service-error', ran: 'ran', code: 'service-error'};
			metrics.retries.inc({failure: 'service-error'});
			return;
		}

		const {failure} = result;
		const mayRetry = this.#retryAllowed(failure.kind);
		this.#failures.push(failure.kind);
		this.#lastFailure = failure;
		this.#ran = combineRan(this.#ran, failure.ran);
		if (!mayRetry) {
			throw this.#final(giveUp(failure, this.#ran, timings.retryAfterMs));
		}

		metrics.retries.inc({failure: failure.kind});
	}

	/** An action that may have run has no time to come back, because a repetition would only be told "in doubt". */
	#final(err: RequestError): RequestError {
		if (!this.#request.action || err.ran === 'not-run') {
			return err;
		}

		const code = err.code === 'endpoint-timeout' ? 'endpoint-timeout' : 'endpoint-failed';
		return callerError(code, err.message, {ran: 'unknown'});
	}
}

/** Runs a service call to its answer, or throws its final error. */
export const runServiceRequest = async (
	request: ServiceRequest,
	context: RequestContext,
	signal: AbortSignal,
): Promise<ServiceCallResult> => new ServiceRun(request, context).run(signal);
