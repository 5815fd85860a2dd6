/**
 * Stand-in for a model engine over HTTP: continuous batching, prompt cache, priorities, resumable and cancellable
 * answers, orders that take time, KV cache that moves between engines, and crashes.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {
	check, validators, type EngineOrder, type EngineState,
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
	/** Settles after `signal` aborted and every connection was closed. */
	readonly closed: Promise<void>;
	/** Drops all connections and stays down for `restartMs`. */
	crash(): void;
};

const readString = (body: string, field: string): string => {
	const value = (parseJson(body) as Record<string, unknown> | null)?.[field];
	if (typeof value !== 'string') {
		throw new BadBodyError(`${field} must be a string`);
	}

	return value;
};

const cancel = (core: EngineCore): Handler => ({res, body}) => {
	const work = core.activeRequests.get(readString(body, 'requestId'));
	work?.cancel();
	sendJson(res, 200, {cancelled: work !== undefined});
};

const finishPrefill = (core: EngineCore, res: ServerResponse, prompt: string, cachedTokens: number): void => {
	const promptTokens = tokenize(prompt).length;
	const handle = core.addKvExport({prompt, promptTokens});
	sendJson(res, 200, {handle, promptTokens, cachedTokens});
};

const prefill = (core: EngineCore): Handler => ({res, body}) => {
	const prompt = readString(body, 'prompt');
	if (rejectIfUnavailable(core, 'decode', res)) {
		return;
	}

	const promptTokens = tokenize(prompt).length;
	const cachedTokens = core.countCachedTokens(prompt);
	const {requestId = randomUUID(), priority = 0} = parseJson(body) as {requestId?: string; priority?: number};
	const work = {
		sequence: {
			requestId: `prefill ${requestId}`,
			priority,
			prefillTokens: promptTokens - cachedTokens,
			outputTokens: 0,
			kvTokens: promptTokens,
			onToken() {/* A prefill generates nothing. */},
			onPrefilled() {
				core.storePrefix(prompt);
			},
			onDone() {
				core.finish(work);
				finishPrefill(core, res, prompt, cachedTokens);
			},
		},
		cutOff() {
			res.destroy();
		},
		cancel() {
			core.finish(work);
			res.destroy();
		},
	};
	res.on('close', () => {
		core.finish(work);
	});
	core.start(work);
};

const exportKv = (core: EngineCore): Handler => ({res, params}) => {
	const entry = core.kvExports.get(params.handle ?? '');
	sendJson(res, entry ? 200 : 404, entry ?? {code: 'unknown-handle'});
};

const receiveOrder = (core: EngineCore): Handler => async ({res, body}) => {
	const checked = check<EngineOrder>(validators.validateEngineOrder, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	const {accepted, lastOrder} = await core.executeOrder(checked.value);
	if (!res.destroyed) {
		sendJson(res, accepted ? 200 : 409, {lastOrder});
	}
};

const recorded = (core: EngineCore, handler: Handler): Handler => async exchange => {
	const {req, path, body} = exchange;
	core.history.append({
		kind: 'request', path, headers: req.headers, body,
	});
	await handler(exchange);
};

const createRoutes = (core: EngineCore, events: EventStream, crash: () => void): HttpRoute[] => [
	['POST', '/generate', recorded(core, createGenerateHandler(core, crash))],
	['POST', '/cancel', recorded(core, cancel(core))],
	['POST', '/prefill', recorded(core, prefill(core))],
	['GET', '/kv/:handle', recorded(core, exportKv(core))],
	['POST', '/orders', recorded(core, receiveOrder(core))],
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

/** Takes the engine down for `restartMs`. */
const createCrash = (core: EngineCore, getServer: () => HttpServer, signal: AbortSignal): () => void => {
	let down = false;
	let timer: NodeJS.Timeout | undefined;
	signal.addEventListener('abort', () => {
		clearTimeout(timer);
	}, {once: true});
	const restart = async (): Promise<void> => {
		await getServer().restart();
		down = false;
		core.history.append({kind: 'restart'});
	};

	return () => {
		if (down) {
			return;
		}

		down = true;
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
	const crash = createCrash(core, () => server, signal);
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
