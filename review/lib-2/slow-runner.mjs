/** Stand-in for a runner of a plain service that may read slowly. It answers each request once it has read it. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatMs = 1200;
const pauseMs = 250;
const serviceMs = 20;
const bytesPerRead = 1024;

export class SlowRunner {
	/** Requests that it has begun to read, and those that it has run. */
	arrived = 0;
	run = 0;
	#options;
	#server;
	#timer = undefined;
	#seq = 0;

	/** Without `bytesPerSecond` it reads as fast as it can. */
	constructor(options) {
		this.#options = options;
		this.#server = createServer({highWaterMark: bytesPerRead}, async (req, res) => {
			try {
				await this.#handle(req, res);
			} catch {
				res.destroy();
			}
		});
		this.#server.keepAliveTimeout = 30_000;
	}

	async start() {
		this.#server.listen(this.#options.port, '127.0.0.1');
		await once(this.#server, 'listening');
		const register = () => {
			const {platform, service, port} = this.#options;
			this.#seq += 1;
			platform.put('servers', `i-${port}`, {
				service, address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: this.#seq, born: 1_700_000_000_000,
			});
		};

		register();
		this.#timer = setInterval(register, heartbeatMs);
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(req, res) {
		const {bytesPerSecond} = this.#options;
		this.arrived += 1;
		for await (const chunk of req) {
			if (bytesPerSecond) {
				// It reads on once the part that it has read is due.
				for (let dueMs = chunk.length / bytesPerSecond * 1000; dueMs > 0 && !res.destroyed; dueMs -= pauseMs) {
					await sleep(pauseMs);
				}
			}
		}

		this.run += 1;
		await sleep(serviceMs);
		const id = req.headers['request-id'];
		const text = `done ${id}`;
		res.writeHead(200, {'request-id': id, 'response-seal': `s.${id}`, 'content-length': Buffer.byteLength(text)}).end(text);
	}
}
