/**
 * Callers of an entry. Each holds one keep-alive connection and writes down what it was answered.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {computeExpectedAnswer} from '@hawthorncleat/stand-ins';
import {Client} from 'undici';
import type {CallObservation} from './rules/observations.js';
import {modelRoute, type CallerKey} from './caller-keys.js';
import type {Fleet} from './fleet.js';

/** Longer than any answer in these tests; a call that ends here counts as one without an answer. */
const callLimitMs = 60_000;

/** One model request. */
export type ModelCall = {readonly id: string; readonly prompt: string; readonly maxTokens: number; readonly stream?: boolean};

type Answer = Pick<CallObservation, 'code' | 'isWhole' | 'ran' | 'status' | 'text'>;
type ErrorBody = {readonly error?: {readonly code?: string; readonly ran?: string}};
type CompletionBody = ErrorBody & {readonly choices?: ReadonlyArray<{readonly text?: string}>};

const readJson = (status: number, text: string): Answer => {
	const body = JSON.parse(text) as CompletionBody;
	return {
		status, isWhole: status === 200, text: body.choices?.[0]?.text, code: body.error?.code, ran: body.error?.ran,
	};
};

/** Reads server-sent events as far as they came. */
const readEvents = (text: string): Answer => {
	const data = [...text.matchAll(/^data: (.+)$/gm)].map(match => match[1]!);
	const bodies = data.filter(line => line !== '[DONE]').map(line => JSON.parse(line) as CompletionBody);
	const failure = bodies.find(({error}) => error !== undefined)?.error;
	return {
		status: 200,
		isWhole: data.at(-1) === '[DONE]' && failure === undefined,
		text: bodies.map(body => body.choices?.[0]?.text ?? '').join(''),
		code: failure?.code,
		ran: failure?.ran,
	};
};

/** A caller with one key at one entry. */
export class KeptCaller {
	readonly observations: CallObservation[] = [];
	/** Connections opened so far; 1 as long as the first one is still in use. */
	connections = 0;
	readonly #entry: string;
	readonly #key: CallerKey;
	readonly #client: Client;

	constructor(fleet: Fleet, entry: string, key: CallerKey) {
		this.#entry = entry;
		this.#key = key;
		this.#client = new Client(fleet.callerUrl(entry), {keepAliveTimeout: callLimitMs, pipelining: 1});
		this.#client.on('connect', () => {
			this.connections += 1;
		});
	}

	/** Makes one call and notes it. It does not reject. */
	async call(call: ModelCall): Promise<CallObservation> {
		const sentMs = performance.now();
		const answer = await this.#send(call);
		const observation: CallObservation = {
			...answer,
			id: call.id,
			entry: this.#entry,
			keyName: this.#key.name,
			sentMs,
			endedMs: performance.now(),
			expected: computeExpectedAnswer(call.prompt, call.maxTokens).join(''),
		};
		this.observations.push(observation);
		return observation;
	}

	/** Calls again and again, one call at a time, until the signal aborts. */
	async repeat(createCall: (number: number) => ModelCall, pauseMs: number, signal: AbortSignal): Promise<void> {
		for (let number = 1; !signal.aborted; number += 1) {
			await this.call(createCall(number));
			await sleep(pauseMs, undefined, {signal}).catch(() => {/* The loop ends. */});
		}
	}

	async close(): Promise<void> {
		await this.#client.destroy();
	}

	async #send({prompt, maxTokens, stream = false}: ModelCall): Promise<Answer> {
		const parts: string[] = [];
		let status = 0;
		try {
			const response = await this.#client.request({
				method: 'POST',
				path: '/v1/completions',
				headers: {authorization: `Bearer ${this.#key.secret}`, 'content-type': 'application/json'},
				body: JSON.stringify(Object.fromEntries([['model', modelRoute], ['prompt', prompt], ['max_tokens', maxTokens], ['stream', stream]])),
				headersTimeout: callLimitMs,
				bodyTimeout: callLimitMs,
			});
			status = response.statusCode;
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				parts.push(String(chunk));
			}
		} catch (error) {
			const part = parts.length > 0 && stream ? readEvents(parts.join('').replace(/\n[^\n]*$/, '\n')) : undefined;
			return {
				...part, status, isWhole: false, code: (error as NodeJS.ErrnoException).code,
			};
		}

		const text = parts.join('');
		return stream && status === 200 ? readEvents(text) : readJson(status, text);
	}
}
