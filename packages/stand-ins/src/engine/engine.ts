/**
 * Stand-in for a model engine over HTTP. It imitates continuous batching, a prompt cache, request priorities, answers
 * that can be resumed and cancelled, orders that take time, KV cache transfer between engines, and crashes.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	validate, validators, type EngineOrder, type EngineState,
} from '@hawthorncleat/schema';
import {
	BadBodyError, parseJson, sendJson, startHttpServer, type Handler, type HttpRoute, type HttpServer,
} from '../http-server.js';
import {EngineCore} from './engine-core.js';
import {EventStream} from './event-stream.js';
import {createGenerateHandler, rejectIfUnavailable} from './generate.js';
import {engineDefaults, type EngineOptions, type EngineRecord} from './options.js';
import {tokenize} from './tokens.js';

/** A running engine stand-in. */
export type EngineStandIn = {
	readonly port: number;
	readonly url: string;
	readonly history: readonly EngineRecord[];
	readonly state: EngineState;
	/** Resolves once `signal` has aborted and every connection is closed. */
	readonly closed: Promise<void>;
	/** Drops all connections and restarts after `restartMs`. */
	crash(): void;
};

const readString = (body: string, field: string): string => {
	const value = (parseJson(body) as Record<string, unknown> | null)?.[field];
	if (typeof value !== 'string') {
		throw new BadBodyError(`${field} must be a string`);
	}

	return value;
};

const createCancelHandler = (core: EngineCore): Handler => ({res, body}) => {
	const request = core.activeRequests.get(readString(body, 'requestId'));
	request?.cancel();
	sendJson(res, 200, {cancelled: request !== undefined});
};

const sendPrefillResult = (core: EngineCore, res: ServerResponse, prompt: string, cachedTokens: number): void => {
	const promptTokens = tokenize(prompt).length;
	const handle = core.addKvExport({prompt, promptTokens});
	sendJson(res, 200, {handle, promptTokens, cachedTokens});
};

const createPrefillHandler = (core: EngineCore): Handler => ({res, body}) => {
	const prompt = readString(body, 'prompt');
	if (rejectIfUnavailable(core, 'decode', res)) {
		return;
	}

	const promptTokens = tokenize(prompt).length;
	const cachedTokens = core.countCachedTokens(prompt);
	const {requestId = randomUUID(), priority = 0} = parseJson(body) as {requestId?: string; priority?: number};
	const request = {
		sequence: {
			requestId: `prefill ${requestId}`,
			priority,
			prefillTokens: promptTokens - cachedTokens,
			outputTokens: 0,
			kvTokens: promptTokens,
			onToken() {/* A prefill generates no tokens. */},
			onPrefilled() {
				core.storePrefix(prompt);
			},
			onDone() {
				core.finish(request);
				sendPrefillResult(core, res, prompt, cachedTokens);
			},
		},
		cutOff() {
			res.destroy();
		},
		cancel() {
			core.finish(request);
			res.destroy();
		},
	};
	res.on('close', () => {
		core.finish(request);
	});
	core.start(request);
};

const createKvHandler = (core: EngineCore): Handler => ({res, params}) => {
	const entry = core.kvExports.get(params.handle ?? '');
	sendJson(res, entry ? 200 : 404, entry ?? {code: 'unknown-handle'});
};

const createOrderHandler = (core: EngineCore): Handler => async ({res, body}) => {
	const checked = validate<EngineOrder>(validators.validateEngineOrder, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	const {accepted, lastOrder} = await core.executeOrder(checked.value);
	if (!res.destroyed) {
		sendJson(res, accepted ? 200 : 409, {lastOrder});
	}
};

const withHistory = (core: EngineCore, handler: Handler): Handler => async exchange => {
	const {req, path, body} = exchange;
	core.history.append({
		kind: 'request', path, headers: req.headers, body,
	});
	await handler(exchange);
};

const createRoutes = (core: EngineCore, events: EventStream, crash: () => void): HttpRoute[] => [
	['POST', '/generate', withHistory(core, createGenerateHandler(core, crash))],
	['POST', '/cancel', withHistory(core, createCancelHandler(core))],
	['POST', '/prefill', withHistory(core, createPrefillHandler(core))],
	['GET', '/kv/:handle', withHistory(core, createKvHandler(core))],
	['POST', '/orders', withHistory(core, createOrderHandler(core))],
	['GET', '/state', ({res}) => {
		sendJson(res, 200, core.state);
	}],
	['GET', '/events', ({res}) => {
		events.subscribe(res);
	}],
	['GET', '/history', ({res}) => {
		sendJson(res, 200, {records: core.history.records});
	}],
];

/** Creates the function that crashes the engine and restarts it after `restartMs`. */
const createCrashFunction = (core: EngineCore, getServer: () => HttpServer, signal: AbortSignal): () => void => {
	let isDown = false;
	let timer: NodeJS.Timeout | undefined;
	signal.addEventListener('abort', () => {
		clearTimeout(timer);
	}, {once: true});
	const restart = async (): Promise<void> => {
		await getServer().restart();
		isDown = false;
		core.history.append({kind: 'restart'});
	};

	return () => {
		if (isDown) {
			return;
		}

		isDown = true;
		getServer().stop();
		core.crash();
		timer = setTimeout(() => {
			void restart();
		}, core.options.restartMs);
	};
};

/** Starts the engine stand-in. It runs until `signal` aborts. */
export const startEngine = async (options: EngineOptions, signal: AbortSignal): Promise<EngineStandIn> => {
	const fullOptions = {...engineDefaults, ...options};
	const events = new EventStream(fullOptions, signal);
	const core = new EngineCore(fullOptions, event => {
		events.publish(event);
	});
	const crash = createCrashFunction(core, () => server, signal);
	const routes = createRoutes(core, events, crash);
	const server: HttpServer = await startHttpServer({address: options.address, port: options.port, routes}, signal);
	return {
		port: server.port,
		url: server.url,
		history: core.history.records,
		get state() {
			return core.state;
		},
		crash,
		closed: server.closed,
	};
};
