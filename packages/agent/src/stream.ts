/**
 * One request at this agent with the tokens produced so far. Tokens are kept until some time after the end, so that the
 * entry can resume on another connection.
 */
import type {FrameEnd, RequestFailed, RequestStartParams} from '@hawthorncleat/schema';
import type {WorkEstimate} from '@hawthorncleat/core';
import type {HopSpan} from '@hawthorncleat/telemetry';
import type {Peer} from '@hawthorncleat/wire';

// A connection with more unsent bytes gets no further frames; this is about a second of a busy connection.
const maxBufferedBytes = 256 * 1024;
const maxFrameTokens = 512;
// Below the line limit of 1 MiB also when every character is escaped in JSON.
const maxFrameCharacters = 128 * 1024;
// The engine is read no further while this much waits for a slow connection.
const maxUnsentCharacters = 1024 * 1024;

/** The part of a peer that a stream needs. */
export type FrameTarget = Pick<Peer, 'notify' | 'bufferedBytes' | 'isOpen'>;

export type StreamOutcome = {readonly end: FrameEnd} | {readonly failed: Omit<RequestFailed, 'requestId' | 'attempt'>};

/** Whether the engine gives the whole answer or only computes the KV cache of the prompt. */
export type RequestKind = 'answer' | 'prefill';

/** A queued, running or ended request. */
export class Stream {
	kind: RequestKind = 'answer';
	outcome: StreamOutcome | undefined;
	endedMs: number | undefined;
	listenerLostMs: number | undefined;
	startedMs: number | undefined;
	firstTokenMs: number | undefined;
	/** Whether the engine had to wait for a slow connection, so that its time for a token shows nothing of the engine. */
	wasHeldBack = false;
	/** Tokens that arrived together with the first. */
	firstTokens = 0;
	lastTokenMs = 0;
	/** Readings of the scheduler's meter at the first and the last token. */
	runningMsAtFirstToken = 0;
	runningMsAtLastToken = 0;
	readonly abort = new AbortController();
	readonly promptCharacters: number;

	readonly #tokens: string[] = [];
	readonly #basePosition: number;
	#listener: FrameTarget | undefined;
	#sentPosition: number;
	#unsentCharacters = 0;
	#isOutcomeSent = false;
	#resolveRoom: (() => void) | undefined;

	#params: RequestStartParams;

	constructor(
		params: RequestStartParams,
		readonly work: WorkEstimate,
		readonly isSuspect: boolean,
		readonly span: HopSpan,
	) {
		this.#params = params;
		this.promptCharacters = params.prompt.length;
		this.#basePosition = params.delivered.length;
		this.#sentPosition = this.#basePosition;
	}

	/** The request; its prompt and delivered tokens are dropped at the end. */
	get params(): RequestStartParams {
		return this.#params;
	}

	/** The name of this attempt at the engine, so that a cancel message for one attempt does not hit the next. */
	get engineRequestId(): string {
		return `${this.params.requestId}/${this.params.attempt}`;
	}

	get listener(): FrameTarget | undefined {
		return this.#listener;
	}

	get nextPosition(): number {
		return this.#basePosition + this.#tokens.length;
	}

	get tokenCount(): number {
		return this.#tokens.length;
	}

	/** Whether the entry was sent everything, the outcome included. */
	get isDelivered(): boolean {
		return this.#isOutcomeSent;
	}

	append(tokens: readonly string[]): void {
		for (const token of tokens) {
			this.#tokens.push(token);
			this.#unsentCharacters += token.length;
		}
	}

	/** Notes how the request ended; a later outcome is ignored. */
	finish(outcome: StreamOutcome, nowMs: number): void {
		this.outcome ??= outcome;
		this.endedMs ??= nowMs;
		// Only the answer is kept for a resume; prompts can be far larger.
		this.#params = {...this.#params, prompt: '', delivered: []};
		this.releaseRoom();
	}

	attach(listener: FrameTarget): void {
		this.#listener = listener;
		this.listenerLostMs = undefined;
	}

	detach(listener: FrameTarget, nowMs: number): void {
		if (this.#listener === listener) {
			this.#listener = undefined;
			this.listenerLostMs = nowMs;
		}
	}

	/** Sends everything from `position` again. Returns false for a position that this attempt does not have. */
	rewind(position: number): boolean {
		if (position < this.#basePosition || position > this.nextPosition) {
			return false;
		}

		this.#sentPosition = position;
		this.#unsentCharacters = this.#tokens
			.slice(position - this.#basePosition)
			.reduce((sum, token) => sum + token.length, 0);
		this.#isOutcomeSent = false;
		return true;
	}

	/** Sends what waits, as far as the connection takes it. */
	flush(): void {
		while (this.#hasUnsent() && this.#listener?.isOpen && this.#listener.bufferedBytes <= maxBufferedBytes) {
			this.#sendNext(this.#listener);
		}

		if (this.#unsentCharacters < maxUnsentCharacters) {
			this.releaseRoom();
		}
	}

	/** Settles once the engine may be read on. */
	async waitForRoom(): Promise<void> {
		if (this.#unsentCharacters < maxUnsentCharacters || this.abort.signal.aborted) {
			return;
		}

		this.wasHeldBack = true;
		await new Promise<void>(resolve => {
			this.#resolveRoom = resolve;
		});
	}

	releaseRoom(): void {
		this.#resolveRoom?.();
		this.#resolveRoom = undefined;
	}

	#hasUnsent(): boolean {
		return this.#sentPosition < this.nextPosition || (this.outcome !== undefined && !this.#isOutcomeSent);
	}

	#sendNext(listener: FrameTarget): void {
		const {requestId, attempt} = this.params;
		const position = this.#sentPosition;
		const tokens = this.#takeTokens();
		const outcome = this.#sentPosition === this.nextPosition ? this.outcome : undefined;
		if (outcome && 'end' in outcome) {
			listener.notify('request.frame', {
				requestId, attempt, position, tokens, end: outcome.end,
			});
		} else if (tokens.length > 0) {
			listener.notify('request.frame', {
				requestId, attempt, position, tokens,
			});
		}

		if (outcome && 'failed' in outcome) {
			listener.notify('request.failed', {requestId, attempt, ...outcome.failed});
		}

		this.#isOutcomeSent = outcome !== undefined;
	}

	#takeTokens(): string[] {
		const tokens: string[] = [];
		let characters = 0;
		while (this.#sentPosition < this.nextPosition && tokens.length < maxFrameTokens && characters < maxFrameCharacters) {
			const token = this.#tokens[this.#sentPosition - this.#basePosition]!;
			tokens.push(token);
			characters += token.length;
			this.#sentPosition += 1;
		}

		this.#unsentCharacters -= characters;
		return tokens;
	}
}
