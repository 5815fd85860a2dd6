/**
 * Stand-in for a runner, as PROTOCOL.md tells it: it registers itself in the store and writes there every `heartbeatMs`, runs requests, turns away those
 * that expect another instance, reports its state and takes orders.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {loopback} from './ports.mjs';

const heartbeatMs = 1200;
const switchMs = 3000;
/** Time from a crash until the runner is back. */
const crashedMs = 2000;

const readText = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const sendText = (res, status, text) => {
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
};

export class Runner {
	port = 0;
	/** Number of answers begun. */
	answerCount = 0;
	/** Ids of the requests that have run. */
	runIds = new Set();
	/** Crashes: the request that caused each, and when. */
	crashes = [];
	/** Changes the text of the answer to a report call. */
	changeReport = text => text;
	/** Whether a request crashes the process that runs it. */
	isCrashing = () => false;
	#options;
	#recorder;
	#server;
	#timer;
	#heartbeats = 0;
	#orders = 0;
	#born = Date.now();
	#isClosed = false;
	#isLeaving = false;
	#registered = '';

	/** Options: `id`, `service`, `zone`, `slots`, `workMs`, `store`, and `stage` for an engine. */
	constructor(options, recorder) {
		this.#options = {...options};
		this.#recorder = recorder;
	}

	get id() {
		return this.#options.id;
	}

	async start() {
		this.#server = createServer({keepAliveTimeout: 30_000}, async (req, res) => {
			try {
				await this.#answer(req, res, await readText(req));
			} catch (error) {
				this.#recorder.note('runner-error', {runner: this.id, problem: error.message});
			}
		});
		this.#server.listen(this.port, loopback);
		await once(this.#server, 'listening');
		this.port = this.#server.address().port;
		this.#register();
		this.#timer = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Leaves without reporting `draining`: its row is removed, and it goes on serving and says in its answers that it leaves. */
	leave() {
		this.#isLeaving = true;
		this.#options.store.put('servers', this.id, undefined);
		this.#recorder.note('store-ack', {row: `servers/${this.id}`, isRemoved: true});
	}

	/** Ends the runner for good. */
	end() {
		this.#isClosed = true;
		this.#stop();
	}

	#stop() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** A heartbeat changes the row only if more than its number changes. */
	#register() {
		const {id, service, zone, stage, slots = 6, store} = this.#options;
		const row = {
			service,
			address: `${loopback}:${this.port}`,
			zone,
			version: 'v1',
			slots,
			state: 'ready',
			coldRemainingMs: 0,
			born: this.#born,
			...stage && {stage, models: [{name: 'm', version: 1, adapters: []}]},
		};
		this.#heartbeats += 1;
		if (!this.#isLeaving && JSON.stringify(row) !== this.#registered) {
			this.#registered = JSON.stringify(row);
			store.put('servers', id, {...row, seq: this.#heartbeats});
		}
	}

	async #answer(req, res, body) {
		this.answerCount += 1;
		if (this.#isLeaving) {
			res.setHeader('server-leaving', '1');
		}

		if (req.url === '/healthz') {
			res.writeHead(200, {'instance-id': this.id});
			res.end();
			return;
		}

		const expected = req.headers['expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'instance-id': this.id});
			res.end();
		} else if (req.url === '/v1/report') {
			sendText(res, 200, this.changeReport(JSON.stringify(this.#report)));
		} else if (req.url === '/v1/order') {
			this.#takeOrder(res, JSON.parse(body));
		} else {
			await this.#run(req, res);
		}
	}

	get #report() {
		return {
			stage: this.#options.stage,
			models: [{name: 'm', version: 1, adapters: []}],
			busy: false,
			seq: this.#orders,
			queued: 0,
			running: 0,
			kvUsed: 0,
			kvTotal: 444_000,
			handles: 0,
		};
	}

	#takeOrder(res, order) {
		this.#recorder.note('order', {runner: this.id, ...order});
		this.#orders += 1;
		setTimeout(() => {
			this.#options.stage = order.stage;
		}, switchMs).unref();
		sendText(res, 202, '{}');
	}

	async #run(req, res) {
		const id = req.headers['request-id'];
		this.runIds.add(id);
		this.#recorder.note('run', {
			runner: this.id, id, tenant: req.headers.tenant, path: req.url,
		});
		await sleep(this.#options.workMs);
		if (this.isCrashing(req)) {
			await this.#crash(id);
			return;
		}

		res.writeHead(200, {'request-id': id, 'response-seal': `seal-${id}`, 'content-type': 'text/plain'});
		res.end(`answer of ${id}`);
	}

	/** Ends, and is back under the same id some seconds later. */
	async #crash(id) {
		this.crashes.push({id, atMs: this.#recorder.nowMs});
		this.#recorder.note('runner-crash', {runner: this.id, id});
		this.#stop();
		await sleep(crashedMs);
		if (!this.#isClosed) {
			this.#born = Date.now();
			this.#heartbeats = 0;
			await this.start();
			this.#recorder.note('runner-back', {runner: this.id});
		}
	}
}
