/**
 * The engine's `POST /generate`: streams one answer as newline-delimited JSON and injects the fault that the engine's
 * options choose for it.
 */
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	validate, validators, type GenerateLine, type GenerateParams,
} from '@hawthorncleat/schema';
import {
	BadBodyError, parseJson, sendJson, type Exchange, type Handler,
} from '../http-server.js';
import type {EngineCore, KvExport, ActiveRequest} from './engine-core.js';
import type {AnswerFault} from './options.js';
import {computeAnswerLength, createTokenSource, tokenize} from './tokens.js';

type EndReason = 'stop' | 'length' | 'cancelled';

const parseGenerateBody = (body: string): GenerateParams => {
	const checked = validate<GenerateParams>(validators.validateGenerateParams, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	return checked.value;
};

/**
 * Rejects a request while an order is running, or if the engine has the role that cannot serve it. Returns whether it
 * was rejected.
 */
export const rejectIfUnavailable = (core: EngineCore, unsuitableRole: string, res: ServerResponse): boolean => {
	if (core.isChanging) {
		sendJson(res, 503, {code: 'changing'});
		return true;
	}

	if (core.role === unsuitableRole) {
		sendJson(res, 409, {code: 'wrong-role', role: core.role});
		return true;
	}

	return false;
};

/** Fetches the KV cache of the prompt from another engine; undefined means that this engine must prefill the prompt. */
const importKv = async (core: EngineCore, params: GenerateParams): Promise<KvExport | undefined> => {
	if (!params.kv) {
		return undefined;
	}

	try {
		const response = await fetch(`${params.kv.source}/kv/${params.kv.handle}`);
		const entry = await response.json() as KvExport;
		await delay(core.options.kvTransferMs);
		return response.ok && entry.prompt === params.prompt ? entry : undefined;
	} catch {
		return undefined;
	}
};

type AnswerOptions = {
	readonly core: EngineCore;
	readonly params: GenerateParams;
	readonly res: ServerResponse;
	readonly importedKv: KvExport | undefined;
	readonly fault: AnswerFault | undefined;
};

/** Generates one answer and streams it to the caller. */
class Answer {
	readonly #core: EngineCore;
	readonly #params: GenerateParams;
	readonly #res: ServerResponse;
	readonly #fault: AnswerFault | undefined;
	readonly #promptTokens: number;
	readonly #cachedTokens: number;
	readonly #reason: 'stop' | 'length';
	readonly #length: number;
	readonly #tokenAt: (position: number) => string;
	readonly #activeRequest: ActiveRequest;
	#position: number;

	constructor(options: AnswerOptions) {
		const {core, params, res, importedKv, fault} = options;
		const {tokens, reason} = computeAnswerLength(params.prompt, params.maxTokens);
		this.#core = core;
		this.#params = params;
		this.#res = res;
		this.#fault = fault;
		this.#reason = reason;
		this.#length = tokens;
		this.#promptTokens = tokenize(params.prompt).length;
		this.#cachedTokens = importedKv ? this.#promptTokens : core.countCachedTokens(params.prompt);
		this.#tokenAt = createTokenSource(params.prompt);
		this.#position = params.delivered.length;
		this.#activeRequest = this.#createActiveRequest();
	}

	start(): void {
		this.#res.writeHead(200, {'content-type': 'application/x-ndjson'});
		this.#res.flushHeaders();
		// A closed connection cancels the answer.
		this.#res.on('close', () => {
			if (this.#core.finish(this.#activeRequest)) {
				this.#record('connection-closed');
			}
		});
		this.#core.start(this.#activeRequest);
	}

	#createActiveRequest(): ActiveRequest {
		const outputTokens = Math.max(0, this.#length - this.#position);
		return {
			sequence: {
				requestId: this.#params.requestId,
				priority: this.#params.priority,
				prefillTokens: this.#promptTokens - this.#cachedTokens + this.#position,
				outputTokens,
				kvTokens: this.#promptTokens + this.#position + outputTokens,
				onPrefilled: () => {
					this.#core.storePrefix(this.#params.prompt);
				},
				onToken: () => {
					this.#sendToken();
				},
				onDone: () => {
					this.#end(this.#reason);
				},
			},
			cutOff: () => {
				this.#record('cut-off');
				this.#res.destroy();
			},
			cancel: () => {
				this.#end('cancelled');
			},
		};
	}

	#sendToken(): void {
		if (this.#isHalfway() && this.#fault) {
			this.#applyFault(this.#fault);
			return;
		}

		this.#sendLine({position: this.#position, token: this.#tokenAt(this.#position)});
		this.#position += 1;
	}

	#isHalfway(): boolean {
		return this.#position >= (this.#params.delivered.length + this.#length) / 2;
	}

	#applyFault(fault: AnswerFault): void {
		if (fault === 'stall') {
			return;
		}

		this.#core.finish(this.#activeRequest);
		this.#record(fault);
		if (fault === 'nonsense') {
			this.#res.end('<html>502</html>\n');
		} else {
			this.#res.end();
		}
	}

	#end(reason: EndReason): void {
		if (this.#fault === 'stall' && reason !== 'cancelled') {
			return;
		}

		this.#core.finish(this.#activeRequest);
		this.#sendLine({
			end: {
				reason,
				promptTokens: this.#promptTokens,
				cachedTokens: this.#cachedTokens,
				outputTokens: this.#position - this.#params.delivered.length,
			},
		});
		this.#res.end();
		this.#record(reason);
	}

	#sendLine(line: GenerateLine): void {
		this.#res.write(`${JSON.stringify(line)}\n`);
	}

	#record(reason: string): void {
		const outputTokens = this.#position - this.#params.delivered.length;
		this.#core.history.append({
			kind: 'generate-end', requestId: this.#params.requestId, reason, outputTokens,
		});
	}
}

/** Creates the handler of `POST /generate`. It calls `crash` if the prompt contains the crash marker. */
export const createGenerateHandler = (core: EngineCore, crash: () => void): Handler => {
	let answerNumber = 0;
	return async ({res, body}: Exchange) => {
		const params = parseGenerateBody(body);
		const importedKv = await importKv(core, params);
		if (res.destroyed || rejectIfUnavailable(core, 'prefill', res)) {
			return;
		}

		if (core.activeRequests.has(params.requestId)) {
			sendJson(res, 409, {code: 'duplicate-request'});
			return;
		}

		answerNumber += 1;
		const fault = core.options.chooseFault(answerNumber, params.prompt);
		new Answer({
			core, params, res, importedKv, fault,
		}).start();
		if (params.prompt.includes(core.options.crashMarker)) {
			setTimeout(crash, core.options.stepMs);
		}
	};
};
