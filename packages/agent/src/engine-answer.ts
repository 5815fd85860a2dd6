/**
 * What an engine answers: checks of its lines, and failures that say whether the request may have run and whether the
 * connection broke.
 */
import {LineReader} from '@hawthorncleat/wire';
import {
	validate, validators, type CacheEvent, type FrameEnd, type GenerateLine, type PrefillResult,
} from '@hawthorncleat/schema';
import {BaseError, type Ran} from '@hawthorncleat/core';
import type {Dispatcher} from 'undici';
import {isNeverConnected} from './connection-errors.js';

// A frame with one token must stay below the line limit of 1 MiB between processes.
const maxTokenCharacters = 64 * 1024;

const EngineFailureClass = BaseError.subclass('EngineFailureError');

export type EngineFailureDetails = {
	readonly code: 'endpoint-failed' | 'engine-invalid-response' | 'engine-stopped-halfway' | 'engine-unreachable';
	readonly ran: Ran;
	/** Whether the connection broke, which is how a crash of the engine shows. */
	readonly connectionBroke: boolean;
};

/** Why the engine gave no whole answer. */
export type EngineFailure = Error & EngineFailureDetails;

/** Creates the failure of one request. */
export const createEngineFailure = (message: string, details: EngineFailureDetails, cause?: unknown): EngineFailure =>
	new EngineFailureClass(message, {cause, props: details});

export const isEngineFailure = (value: unknown): value is EngineFailure => value instanceof EngineFailureClass;

/** Tokens that arrived together, and the end if it was among them. */
export type EngineBatch = {readonly tokens: string[]; readonly end?: FrameEnd};

/** An answer that makes no sense. */
export const invalidResponse = (problem: string): EngineFailure => createEngineFailure(`invalid response of the engine: ${problem}`, {
	code: 'engine-invalid-response', ran: 'ran', connectionBroke: false,
});

/** Checks the lines of one answer in their order. */
class AnswerChecker {
	#end: FrameEnd | undefined;
	#next: number;

	constructor(private readonly firstPosition: number) {
		this.#next = firstPosition;
	}

	get isComplete(): boolean {
		return this.#end !== undefined;
	}

	get hasTokens(): boolean {
		return this.#next > this.firstPosition;
	}

	read(lines: readonly string[]): EngineBatch {
		const tokens: string[] = [];
		for (const text of lines) {
			const line = parseLine(text);
			if (this.#end) {
				throw invalidResponse('a line after the end');
			}

			if (line.end) {
				this.#end = this.#checkEnd(line.end);
			} else {
				tokens.push(this.#checkToken(line));
			}
		}

		return this.#end ? {tokens, end: this.#end} : {tokens};
	}

	#checkToken({position, token}: GenerateLine): string {
		if (token !== undefined && token.length > maxTokenCharacters) {
			throw invalidResponse(`a token of ${token.length} characters`);
		}

		if (token === undefined || position !== this.#next) {
			throw invalidResponse(`position ${String(position)} instead of ${this.#next}`);
		}

		this.#next += 1;
		return token;
	}

	#checkEnd(end: FrameEnd): FrameEnd {
		// An engine counts either the whole answer or only what it produced after the tokens delivered before.
		const isMatching = end.outputTokens === this.#next || end.outputTokens === this.#next - this.firstPosition;
		if (!isMatching) {
			throw invalidResponse(`an end of ${end.outputTokens} tokens after ${this.#next}`);
		}

		return {...end, outputTokens: this.#next};
	}
}

const parseLine = (text: string): GenerateLine => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		throw invalidResponse('a line that is not JSON');
	}

	const checked = validate<GenerateLine>(validators.validateGenerateLine, value);
	if (!checked.ok) {
		throw invalidResponse(checked.findings.map(finding => `${finding.place} ${finding.problem}`).join('; '));
	}

	return checked.value;
};

/** Failure of a request whose connection could not be opened or broke. */
export const brokenConnection = (hasTokens: boolean, error: unknown): EngineFailure => {
	if (isNeverConnected(error)) {
		return createEngineFailure('cannot connect to the engine', {
			code: 'engine-unreachable', ran: 'not-run', connectionBroke: true,
		}, error);
	}

	return createEngineFailure('the connection to the engine broke', {
		code: 'engine-stopped-halfway', ran: hasTokens ? 'ran' : 'unknown', connectionBroke: true,
	}, error);
};

const stoppedHalfway = (hasTokens: boolean): EngineFailure =>
	createEngineFailure('the answer stopped before its end', {
		code: 'engine-stopped-halfway', ran: hasTokens ? 'ran' : 'unknown', connectionBroke: false,
	});

/** Reads the lines of an answer up to its end. */
export async function * readAnswer(response: Dispatcher.ResponseData, firstPosition: number): AsyncGenerator<EngineBatch, void> {
	const reader = new LineReader();
	const checker = new AnswerChecker(firstPosition);
	const chunks = response.body[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
	for (;;) {
		const chunk = await chunks.next().catch((error: unknown) => {
			throw brokenConnection(checker.hasTokens, error);
		});
		if (chunk.done) {
			break;
		}

		const batch = checker.read(readLines(reader, chunk.value));
		if (batch.tokens.length > 0 || batch.end) {
			yield batch;
		}
	}

	if (!checker.isComplete) {
		throw stoppedHalfway(checker.hasTokens);
	}
}

/** Reads cache events until the stream ends. */
export async function * readEvents(response: Dispatcher.ResponseData): AsyncGenerator<CacheEvent, void> {
	if (response.statusCode !== 200) {
		await response.body.dump();
		throw invalidResponse(`the events with status ${response.statusCode}`);
	}

	const reader = new LineReader();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		for (const line of readLines(reader, chunk)) {
			const checked = validate<CacheEvent>(validators.validateCacheEvent, JSON.parse(line));
			if (!checked.ok) {
				throw invalidResponse('a cache event');
			}

			yield checked.value;
		}
	}
}

const readLines = (reader: LineReader, chunk: Uint8Array): string[] => {
	try {
		return reader.push(chunk);
	} catch {
		throw invalidResponse('a line over the length limit');
	}
};

/** Reads the answer to `POST /prefill`. */
export const readPrefillResult = (text: string): PrefillResult => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		throw invalidResponse('a prefill result that is not JSON');
	}

	const checked = validate<PrefillResult>(validators.validatePrefillResult, value);
	if (!checked.ok) {
		throw invalidResponse('a prefill result');
	}

	return checked.value;
};
