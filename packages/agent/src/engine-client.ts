/**
 * HTTP client of the engine interface in section 7 of docs/design.md. It checks everything that the engine answers, and
 * a failure says whether the request may have run and whether the connection broke.
 */
import {LineReader} from '@hawthorncleat/wire';
import {
	check,
	validators,
	type CacheEvent,
	type EngineOrder,
	type EngineState,
	type FrameEnd,
	type GenerateLine,
	type GenerateParams,
} from '@hawthorncleat/schema';
import {BaseError, type Ran} from '@hawthorncleat/core';
import {Agent, request, type Dispatcher} from 'undici';
import {isNeverConnected} from './connection-errors.js';

const connectTimeoutMs = 1000;
const controlTimeoutMs = 2000;
// Control calls must not wait for a connection while every place is taken by a stream.
const controlConnections = 4;
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

const createEngineFailure = (message: string, details: EngineFailureDetails, cause?: unknown): EngineFailure =>
	new EngineFailureClass(message, {cause, props: details});

export const isEngineFailure = (value: unknown): value is EngineFailure => value instanceof EngineFailureClass;

/** Tokens that arrived together, and the end if it was among them. */
export type EngineBatch = {readonly tokens: string[]; readonly end?: FrameEnd};

export type EngineClient = {
	generate(params: GenerateParams, traceparent: string, signal: AbortSignal): AsyncGenerator<EngineBatch, void>;
	cancel(requestId: string): Promise<void>;
	state(): Promise<EngineState>;
	/** The engine's cache events until the stream ends; rejects when it fails or an event is invalid. */
	events(signal: AbortSignal): AsyncGenerator<CacheEvent, void>;
	/** Returns the HTTP status; rejects when the connection failed, after which the order may have been received. */
	order(order: EngineOrder): Promise<number>;
	close(): Promise<void>;
};

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

	const checked = check<GenerateLine>(validators.validateGenerateLine, value);
	if (!checked.ok) {
		throw invalidResponse(checked.findings.map(finding => `${finding.place} ${finding.problem}`).join('; '));
	}

	return checked.value;
};

const brokenConnection = (hasTokens: boolean, error: unknown): EngineFailure => {
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

async function * readAnswer(response: Dispatcher.ResponseData, firstPosition: number): AsyncGenerator<EngineBatch, void> {
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

async function * readEvents(response: Dispatcher.ResponseData): AsyncGenerator<CacheEvent, void> {
	if (response.statusCode !== 200) {
		await response.body.dump();
		throw invalidResponse(`the events with status ${response.statusCode}`);
	}

	const reader = new LineReader();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		for (const line of readLines(reader, chunk)) {
			const checked = check<CacheEvent>(validators.validateCacheEvent, JSON.parse(line));
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

/** Whether a failed question for the state shows that the engine is gone, and not only that it answers late or badly. */
export const isEngineGone = (error: unknown): boolean =>
	!isEngineFailure(error) && (error as Error | undefined)?.name !== 'TimeoutError' && !(error instanceof SyntaxError);

/** Creates the client of the engine at `baseUrl`. */
export const createEngineClient = (baseUrl: string, maxRunning: number): EngineClient => {
	// Each stream has a connection of its own: a reused one that the engine just closed would look like a crash.
	const streams = new Agent({connections: maxRunning + 1, pipelining: 0, connect: {timeout: connectTimeoutMs}});
	const events = new Agent({connections: 1, connect: {timeout: connectTimeoutMs}});
	const control = new Agent({connections: controlConnections, pipelining: 1, connect: {timeout: connectTimeoutMs}});
	const post = async (path: string, body: unknown): Promise<Dispatcher.ResponseData> => request(new URL(path, baseUrl), {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
		dispatcher: control,
		signal: AbortSignal.timeout(controlTimeoutMs),
	});

	return {
		async * generate(params, traceparent, signal) {
			const response = await request(new URL('/generate', baseUrl), {
				method: 'POST',
				headers: {'content-type': 'application/json', traceparent},
				body: JSON.stringify(params),
				dispatcher: streams,
				signal,
				// A stream without progress is cancelled by its entry, which knows the time that is left.
				headersTimeout: 0,
				bodyTimeout: 0,
			}).catch((error: unknown) => {
				throw brokenConnection(false, error);
			});
			if (response.statusCode !== 200) {
				await response.body.dump();
				throw createEngineFailure(`the engine answered ${response.statusCode}`, {
					code: 'endpoint-failed', ran: 'unknown', connectionBroke: false,
				});
			}

			try {
				yield * readAnswer(response, params.delivered.length);
			} finally {
				response.body.on('error', () => {/* The answer is given up. */});
				response.body.destroy();
			}
		},
		async cancel(requestId) {
			const response = await post('/cancel', {requestId});
			await response.body.dump();
		},
		async state() {
			const response = await request(new URL('/state', baseUrl), {
				dispatcher: control, signal: AbortSignal.timeout(controlTimeoutMs),
			});
			const checked = check<EngineState>(validators.validateEngineState, await response.body.json());
			if (response.statusCode !== 200 || !checked.ok) {
				throw invalidResponse('the state');
			}

			return checked.value;
		},
		async * events(signal) {
			const response = await request(new URL('/events', baseUrl), {
				dispatcher: events, signal, headersTimeout: controlTimeoutMs, bodyTimeout: 0,
			});
			yield * readEvents(response);
		},
		async order(order) {
			const response = await post('/orders', order);
			await response.body.dump();
			return response.statusCode;
		},
		async close() {
			await Promise.all([streams.destroy(), control.destroy(), events.destroy()]);
		},
	};
};
