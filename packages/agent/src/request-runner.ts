/**
 * Runs model requests: takes them from entries, starts them at the engine, keeps their streams and reports how each
 * one ends.
 */
import {createRequestError} from '@hawthorncleat/core';
import type {
	FrameEnd, RequestCancel, RequestResumeParams, RequestStartParams, RequestStartResult,
} from '@hawthorncleat/schema';
import {invalidResponse, isEngineFailure, type EngineFailure} from './engine-answer.js';
import {IdleSignal} from './idle-signal.js';
import {overloaded, unknownRequest} from './refusals.js';
import type {RequestRunnerOptions} from './request-runner-options.js';
import {RequestScheduler} from './request-scheduler.js';
import {
	Stream, type FrameTarget, type RequestKind, type StreamOutcome,
} from './stream.js';
import {StreamStore} from './stream-store.js';

const sweepIntervalMs = 100;
/** All model requests of one agent. */
export class RequestRunner {
	readonly scheduler: RequestScheduler;
	readonly #streams = new StreamStore();
	readonly #timer: NodeJS.Timeout;
	readonly #idle = new IdleSignal(() => this.scheduler.isIdle);

	constructor(private readonly options: RequestRunnerOptions) {
		this.scheduler = new RequestScheduler(options.limits, options.role);
		this.#timer = setInterval(() => {
			this.sweep();
		}, sweepIntervalMs);
	}

	/** Whether every stream ended and its listener, if it has one, was sent everything. */
	get isDelivered(): boolean {
		return this.#streams.isDelivered;
	}

	/** Takes a request into the queue, or refuses it. */
	start(params: RequestStartParams, listener: FrameTarget, kind: RequestKind): RequestStartResult {
		this.options.notePrompt(params.prompt);
		this.#replaceEarlierAttempt(params);
		const work = this.scheduler.estimate(params, kind);
		const decision = this.scheduler.decide(work, params);
		if (!decision.accepted) {
			this.options.metrics.refused.inc({code: 'overloaded'});
			throw overloaded(decision.retryAfterMs, this.scheduler.waitingPromptTokens);
		}

		const {requestId, attempt, traceparent, fingerprint, suspect} = params;
		const span = this.options.tracing.startSpan('agent.request', traceparent, {requestId, attempt, model: params.model});
		const isSuspect = suspect === true || this.options.marks.has(fingerprint);
		const stream = new Stream(params, work, isSuspect, span);
		stream.kind = kind;
		stream.attach(listener);
		this.#streams.add(stream);
		this.scheduler.add(stream);
		this.pump();
		return {accepted: true, queuedTokens: this.scheduler.waitingPromptTokens};
	}

	/** Sends a stream again from a position, on the connection that asks. */
	resume({requestId, attempt, position}: RequestResumeParams, listener: FrameTarget): {resumed: true} {
		const stream = this.#streams.get(requestId);
		if (stream?.params.attempt !== attempt || !stream.rewind(position)) {
			throw unknownRequest();
		}

		stream.attach(listener);
		// The answer to this call goes out before the frames.
		setImmediate(() => {
			stream.flush();
		});
		return {resumed: true};
	}

	cancel({requestId, attempt}: RequestCancel): void {
		const stream = this.#streams.get(requestId);
		if (stream?.params.attempt === attempt) {
			this.#cancelStream(stream);
		}
	}

	/** Notes that a connection ended; its streams wait for a resume. */
	detach(listener: FrameTarget): void {
		this.#streams.detach(listener, this.options.clock.nowMs());
	}

	/** Starts waiting requests while there are places. */
	pump(): void {
		while (this.options.mayStart()) {
			const stream = this.scheduler.takeNext(this.options.clock.nowMs());
			if (!stream) {
				return;
			}

			void this.#run(stream);
		}
	}

	/** The engine stopped answering: everything that runs there is lost, and what waits goes elsewhere. */
	failAll(): void {
		const running = [...this.scheduler.running].filter(stream => !stream.outcome);
		this.#reportCrash(running);
		for (const stream of running) {
			this.#fail(stream, {code: 'engine-crashed', ran: stream.tokenCount > 0 ? 'ran' : 'unknown', crash: true});
			stream.abort.abort();
		}

		this.failWaiting();
	}

	/** No more work may start here: what waits goes elsewhere. */
	failWaiting(code = 'engine-unreachable'): void {
		for (const stream of this.scheduler.clearWaiting()) {
			this.#fail(stream, {code, ran: 'not-run', crash: false});
		}
	}

	/** Settles when nothing runs or waits. */
	async whenIdle(): Promise<void> {
		await this.#idle.wait();
	}

	/** Sends what slow connections can take again, and ends streams that nobody listens to. */
	sweep(): void {
		for (const orphan of this.#streams.sweep(this.options.clock.nowMs())) {
			this.#cancelStream(orphan);
		}
	}

	close(): void {
		clearInterval(this.#timer);
		for (const stream of this.#streams.clear()) {
			stream.abort.abort();
			stream.releaseRoom();
			stream.span.end('agent stopped');
		}

		this.scheduler.clearWaiting();
		this.#idle.check();
	}

	#replaceEarlierAttempt({requestId, attempt}: RequestStartParams): void {
		const earlier = this.#streams.get(requestId);
		if (!earlier) {
			return;
		}

		if (earlier.params.attempt >= attempt) {
			throw createRequestError('this attempt was already received', {code: 'duplicate-attempt', ran: 'unknown', status: 409});
		}

		this.#cancelStream(earlier);
	}

	#cancelStream(stream: Stream): void {
		const {engine, metrics} = this.options;
		this.#streams.delete(stream);
		if (stream.outcome) {
			return;
		}

		metrics.cancelled.inc();
		stream.span.end('cancelled');
		if (this.scheduler.removeWaiting(stream)) {
			this.#idle.check();
			return;
		}

		// The place counts as free when the engine's stream has ended, which aborting it brings about.
		void engine.cancel(stream.engineRequestId).catch(() => undefined).finally(() => {
			stream.abort.abort();
			stream.releaseRoom();
		});
	}

	async #run(stream: Stream): Promise<void> {
		const {clock, metrics} = this.options;
		stream.startedMs = clock.nowMs();
		try {
			await (stream.kind === 'prefill' ? this.#prefill(stream) : this.#readAnswer(stream));
		} catch (error) {
			await this.#handleFailure(stream, error);
		}

		this.scheduler.finish(stream, clock.nowMs());
		metrics.finished.inc();
		this.#idle.check();
		this.pump();
	}

	async #readAnswer(stream: Stream): Promise<void> {
		const {engine, clock, metrics} = this.options;
		const {clientAccount, prompt, maxTokens, priority, delivered, kv} = stream.params;
		const params = {
			requestId: stream.engineRequestId, clientAccount, prompt, maxTokens, priority, delivered, ...(kv && {kv}),
		};
		for await (const batch of engine.generate(params, stream.span.traceparent, stream.abort.signal)) {
			if (batch.tokens.length > 0) {
				this.scheduler.noteTokens(stream, batch.tokens.length, clock.nowMs());
			}

			metrics.outputTokens.inc(batch.tokens.length);
			stream.append(batch.tokens);
			if (batch.end) {
				this.#noteEnd(stream, batch.end);
			}

			stream.flush();
			await stream.waitForRoom();
		}
	}

	/** Only names and counts pass through the agent; the KV cache goes from engine to engine. */
	async #prefill(stream: Stream): Promise<void> {
		const {engine, clock, kvUrl} = this.options;
		const {clientAccount, prompt, priority} = stream.params;
		const {handle, promptTokens, cachedTokens} = await engine.prefill({
			requestId: stream.engineRequestId, clientAccount, prompt, priority,
		}, stream.span.traceparent, stream.abort.signal);
		this.scheduler.noteTokens(stream, 0, clock.nowMs());
		this.#end(stream, {
			end: {
				reason: 'prefilled', promptTokens, cachedTokens, outputTokens: 0, kv: {source: kvUrl, handle},
			},
		});
		stream.flush();
	}

	#noteEnd(stream: Stream, end: FrameEnd): void {
		if (end.reason !== 'cancelled') {
			this.#end(stream, {end});
		} else if (this.#streams.has(stream)) {
			throw invalidResponse('an end as cancelled of a request that was not cancelled');
		}
	}

	async #handleFailure(stream: Stream, error: unknown): Promise<void> {
		if (stream.outcome !== undefined || stream.abort.signal.aborted) {
			return;
		}

		if (!isEngineFailure(error)) {
			this.options.log.error('request failed inside the agent', {error: String(error)});
			this.#fail(stream, {code: 'endpoint-failed', ran: 'unknown', crash: false});
			return;
		}

		if (error.ran === 'not-run') {
			// It never reached the engine, so it is no suspect if the engine crashed.
			this.#fail(stream, {code: error.code, ran: error.ran, crash: false});
		}

		await this.#checkEngine(error);
		if (stream.outcome !== undefined || stream.abort.signal.aborted) {
			return;
		}

		if (error.connectionBroke) {
			this.#reportCrash([stream]);
		}

		this.#fail(stream, {code: error.code, ran: error.ran, crash: error.connectionBroke});
	}

	/** After a connection broke: if the engine is gone, all its requests have failed. One that is only silent may go on with them. */
	async #checkEngine({connectionBroke}: EngineFailure): Promise<void> {
		if (connectionBroke && await this.options.isEngineGone()) {
			this.failAll();
		}
	}

	#reportCrash(streams: readonly Stream[]): void {
		const fingerprints = streams.map(stream => stream.params.fingerprint);
		if (fingerprints.length > 0) {
			this.options.marks.add(fingerprints);
			this.options.onCrash(fingerprints);
		}
	}

	#fail(stream: Stream, failed: {code: string; ran: 'not-run' | 'ran' | 'unknown'; crash: boolean}): void {
		this.options.metrics.failed.inc({code: failed.code});
		this.#end(stream, {failed});
		stream.flush();
		this.#idle.check();
	}

	#end(stream: Stream, outcome: StreamOutcome): void {
		stream.finish(outcome, this.options.clock.nowMs());
		stream.span.end('failed' in outcome ? outcome.failed.code : undefined);
	}
}
