/* eslint-disable @stylistic/object-curly-newline, unicorn/no-immediate-mutation */
/**
 * Stand-in for a runner of a plain service. It registers in the store, sends heartbeats, answers with its id and a seal, and can crash: its connections are
 * reset, its port refuses, its registration lapses after three heartbeats, and it is back after a while with a new id.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatMs = 1200;
const missedHeartbeats = 3;
let starts = 0;

const readBody = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

export class Runner {
	id = '';
	#options;
	#answer;
	#server = undefined;
	#timer = undefined;
	#seq = 0;
	#born = 0;
	#sockets = new Set();
	#isStopped = false;

	/** `answer` gets each run and sends its answer. */
	constructor(options, answer) {
		this.#options = {zone: 'a', slots: 6, ...options};
		this.#answer = answer;
	}

	async start() {
		starts += 1;
		const {port} = this.#options;
		this.id = `i-${starts}-${port}`;
		this.#seq = 0;
		this.#born = Date.now();
		const server = createServer(async (req, res) => {
			try {
				await this.#handle(req, res);
			} catch {
				res.destroy();
			}
		});
		server.keepAliveTimeout = 30_000;
		// It takes every header.
		server.maxHeadersCount = 0;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
		this.#server = server;
		this.#register();
		this.#timer = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Crashes and is back after a while. */
	async crash(awayMs) {
		const {id} = this;
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		setTimeout(() => {
			this.#options.platform.put('servers', id, undefined);
		}, missedHeartbeats * heartbeatMs).unref();
		await sleep(awayMs);
		if (!this.#isStopped) {
			await this.start();
		}
	}

	stop() {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	#register() {
		const {platform, service, port, zone, slots} = this.#options;
		this.#seq += 1;
		const row = {service, address: `127.0.0.1:${port}`, zone};
		Object.assign(row, {version: 'v1', slots, state: 'ready'});
		platform.put('servers', this.id, {...row, coldRemainingMs: 0, seq: this.#seq, born: this.#born});
	}

	async #handle(req, res) {
		const body = await readBody(req);
		const id = req.headers['request-id'] ?? '';
		const expected = req.headers['expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'request-id': id, 'not-executed': '1', 'content-length': 0}).end();
			return;
		}

		const run = {id, body, headers: req.headers};
		Object.assign(run, {method: req.method, target: req.url, runner: this.id});
		run.atMs = Math.round(performance.now());
		await this.#answer(run, res, this);
	}
}

/** Sends a whole answer. */
export const answerOk = (run, res, runner) => {
	const text = `done ${run.id}`;
	res.writeHead(200, {'request-id': run.id, 'response-seal': `${runner.id}.${run.id}`, 'content-length': Buffer.byteLength(text)}).end(text);
};
