/**
 * One attempt of a model request at one agent: starts it, takes its frames in order, resumes it after a gap or a lost
 * connection, and cancels it when it is abandoned.
 */
import {
	validate,
	validators,
	type FrameEnd,
	type RequestFailed,
	type RequestFrame,
	type RequestStartParams,
	type RequestStartResult,
} from '@hawthorncleat/schema';
import {classifyCallError, type AttemptFailure} from './attempt-failure.js';
import type {Endpoint, StreamListener} from './endpoint.js';
import {ProgressCheck} from './progress-check.js';
import {StreamResume} from './stream-resume.js';

const startTimeoutMs = 3000;
/** Far more than the longest answer; a stream beyond it is not an answer. */
const maxAnswerBytes = 8 * 1024 * 1024;

/** How an attempt ended. */
export type AttemptOutcome
	= | {readonly kind: 'end'; readonly end: FrameEnd}
		| {readonly kind: 'failed'; readonly failure: AttemptFailure; readonly isCrash: boolean};

/** The tokens that the caller has been given, over all attempts. */
export type Delivery = {readonly tokens: string[]; bytes: number; onTokens(tokens: readonly string[]): void};

type AttemptOptions = {
	readonly endpoint: Endpoint;
	readonly params: RequestStartParams;
	readonly delivery: Delivery;
	/** `request.prefill` ends with a handle instead of tokens. */
	readonly method?: 'request.prefill' | 'request.start';
	readonly progressLimitMs: number;
	readonly resumeWaitMs: number;
	/** Called while the attempt makes no progress; returns whether another attempt is certain to take over. */
	readonly claimNextAttempt: (failure: 'connection-lost' | 'no-progress') => boolean;
};

/** Runs one attempt. Settled at its end, at its failure or when the signal aborts. */
export class StreamAttempt implements StreamListener {
	readonly #options: AttemptOptions;
	readonly #outcome: Promise<AttemptOutcome>;
	readonly #progress: ProgressCheck;
	readonly #resume: StreamResume;
	#settle!: (outcome: AttemptOutcome) => void;
	#isSettled = false;
	#isStarted = false;
	#hasListener = true;

	constructor(options: AttemptOptions) {
		this.#options = options;
		this.#progress = new ProgressCheck({
			limitMs: options.progressLimitMs,
			giveUp: () => this.#giveUpStalled(),
			requestResend: () => {
				this.#requestResend();
			},
		});
		this.#resume = new StreamResume({
			...options,
			position: () => options.delivery.tokens.length,
			isSettled: () => this.#isSettled,
			claimNextAttempt: () => options.claimNextAttempt('connection-lost'),
			fail: failure => {
				this.#fail(failure);
			},
		});
		this.#outcome = new Promise(resolve => {
			this.#settle = outcome => {
				this.#isSettled = true;
				resolve(outcome);
			};
		});
	}

	get #method(): 'request.prefill' | 'request.start' {
		return this.#options.method ?? 'request.start';
	}

	async run(signal: AbortSignal): Promise<AttemptOutcome> {
		const {endpoint, params} = this.#options;
		const abort = (): void => {
			this.#fail({kind: 'no-progress', ran: 'unknown', code: 'aborted'});
		};

		signal.addEventListener('abort', abort, {once: true});
		endpoint.streams.set(params.requestId, this);
		try {
			this.#progress.noteProgress();
			void this.#start();
			return await this.#outcome;
		} finally {
			signal.removeEventListener('abort', abort);
			this.#release();
		}
	}

	onFrame(frame: RequestFrame): void {
		if (this.#isSettled || frame.attempt !== this.#options.params.attempt) {
			return;
		}

		const next = this.#options.delivery.tokens.length;
		if (frame.position === next) {
			this.#accept(frame);
			return;
		}

		// A frame that ends before the next position is a duplicate; any other one shows that frames are missing.
		if (frame.position > next || frame.position + frame.tokens.length > next) {
			void this.#resume.recover();
		}
	}

	onFailed(failed: RequestFailed): void {
		if (this.#isSettled || failed.attempt !== this.#options.params.attempt) {
			return;
		}

		const {code, ran, crash} = failed;
		const hasDelivered = this.#options.delivery.tokens.length > this.#options.params.delivered.length;
		if (crash) {
			this.#fail({kind: 'engine-crashed', ran: 'ran', code}, true);
		} else if (ran === 'not-run' && !hasDelivered) {
			this.#fail({kind: 'refused', ran, code});
		} else {
			this.#fail({kind: 'invalid-response', ran: hasDelivered ? 'ran' : ran, code});
		}
	}

	onConnectionLost(): void {
		if (this.#isStarted && !this.#isSettled) {
			void this.#resume.recover();
		}
	}

	async #start(): Promise<void> {
		const {endpoint, params} = this.#options;
		const {peer} = endpoint;
		if (!peer) {
			this.#fail({kind: 'not-connected', ran: 'not-run', code: 'connection-closed'});
			return;
		}

		try {
			const answer = await peer.call(this.#method, params, {timeoutMs: startTimeoutMs});
			this.#started(answer);
		} catch (error) {
			const failure = classifyCallError(error);
			this.#noteQueueOf(failure);
			this.#isStarted = failure.kind === 'connection-lost';
			if (this.#isStarted) {
				await this.#resume.recover();
				return;
			}

			this.#failStart(failure);
		}
	}

	#started(answer: unknown): void {
		this.#isStarted = true;
		const checked = validate<RequestStartResult>(validators.validateRequestStartResult, answer);
		if (!checked.ok) {
			this.#fail({kind: 'invalid-response', ran: 'unknown', code: 'invalid-response'});
			return;
		}

		this.#options.endpoint.noteQueue(checked.value.queuedTokens);
		if (!this.#options.endpoint.peer) {
			void this.#resume.recover();
		}
	}

	/** A refusal shows the queue as well as an acceptance does, and the next request should know of it. */
	#noteQueueOf({queuedTokens}: AttemptFailure): void {
		if (queuedTokens !== undefined && queuedTokens >= 0) {
			this.#options.endpoint.noteQueue(queuedTokens);
		}
	}

	#failStart(failure: AttemptFailure): void {
		// A refused request left nothing at the agent that would have to be cancelled.
		this.#hasListener = failure.kind === 'invalid-response';
		this.#fail(failure);
	}

	#accept(frame: RequestFrame): void {
		const {delivery, params} = this.#options;
		delivery.bytes += frame.tokens.reduce((sum, token) => sum + token.length, 0);
		const isTooLong = delivery.tokens.length + frame.tokens.length > params.maxTokens;
		if (isTooLong || delivery.bytes > maxAnswerBytes) {
			this.#fail({kind: 'invalid-response', ran: 'ran', code: 'answer-too-long'});
			return;
		}

		this.#progress.noteProgress();
		for (const token of frame.tokens) {
			delivery.tokens.push(token);
		}

		if (frame.tokens.length > 0) {
			delivery.onTokens(frame.tokens);
		}

		if (frame.end) {
			this.#finish(frame.end);
		}
	}

	#finish(end: FrameEnd): void {
		this.#hasListener = false;
		if (end.reason === 'cancelled') {
			this.#fail({kind: 'no-progress', ran: 'ran', code: 'cancelled-by-agent'});
			return;
		}

		// The agent counts over all attempts too, so another count means that the caller would miss tokens.
		if (end.outputTokens !== this.#options.delivery.tokens.length) {
			this.#fail({kind: 'invalid-response', ran: 'ran', code: 'wrong-token-count'});
			return;
		}

		const isPrefill = this.#method === 'request.prefill';
		if (isPrefill !== (end.reason === 'prefilled') || isPrefill !== (end.kv !== undefined)) {
			this.#fail({kind: 'invalid-response', ran: 'ran', code: 'wrong-end'});
			return;
		}

		this.#settle({kind: 'end', end});
	}

	/** A sound engine may stall and go on, so the attempt ends only when another one takes over. */
	#giveUpStalled(): boolean {
		const isReplaced = this.#options.claimNextAttempt('no-progress');
		if (isReplaced) {
			this.#fail({kind: 'no-progress', ran: 'unknown', code: 'no-progress'});
		}

		return isReplaced;
	}

	#requestResend(): void {
		if (this.#isStarted) {
			void this.#resume.requestResend();
		}
	}

	#fail(failure: AttemptFailure, isCrash = false): void {
		if (!this.#isSettled) {
			this.#settle({kind: 'failed', failure, isCrash});
		}
	}

	#release(): void {
		const {endpoint, params} = this.#options;
		this.#progress.stop();
		if (endpoint.streams.get(params.requestId) === this) {
			endpoint.streams.delete(params.requestId);
		}

		if (this.#hasListener) {
			endpoint.peer?.notify('request.cancel', {requestId: params.requestId, attempt: params.attempt});
		}
	}
}
