/**
 * Stand-in for the platform: the metadata store (rows, conditional transactions, feeds) and the calls of singleton duties. It keeps the promises of
 * PROTOCOL.md and has no faults of its own; tests write to it as the operator and as the runners do.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

const feedPollMs = 5;
const maxRows = 500;
const historyMs = 20_000;

const nameOf = ({table, part = '', key}) => JSON.stringify([table, part, key]);
const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');

const readBody = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const sendJson = (res, status, body) => {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
};

export class Platform {
	/** Usage reports in the order of their arrival. */
	reports = [];
	port = 0;
	#rows = new Map();
	#log = [];
	#version = 0;
	#highestToken = 0;
	#server = createServer(async (req, res) => {
		try {
			await this.#handle(req, res);
		} catch {
			res.destroy();
		}
	});

	async start() {
		this.#server.keepAliveTimeout = 60_000;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.port = this.#server.address().port;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a row as the operator or a runner does; undefined removes it. */
	put(table, key, value) {
		this.#commit([{
			table, part: '', key, value: value === undefined ? undefined : encode(value),
		}]);
	}

	#commit(changes) {
		this.#version += 1;
		for (const {table, part = '', key, value} of changes) {
			const row = {
				table, part, key, recordVersion: this.#version, ...value === undefined ? {deleted: true} : {value},
			};
			if (value === undefined) {
				this.#rows.delete(nameOf(row));
			} else {
				this.#rows.set(nameOf(row), row);
			}

			this.#log.push({row, atMs: performance.now()});
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const query = Object.fromEntries(url.searchParams);
		if (url.pathname === '/usage') {
			this.#report(req, res, JSON.parse(await readBody(req)));
			return;
		}

		if (url.pathname === '/v1/rows-tx') {
			this.#transact(res, JSON.parse(await readBody(req)));
			return;
		}

		if (url.pathname === '/v1/rows-get') {
			this.#get(res, query);
			return;
		}

		if (url.pathname === '/v1/rows-feed') {
			await this.#feed(res, query);
			return;
		}

		sendJson(res, 404, {});
	}

	#report(req, res, body) {
		const token = Number(req.headers['fencing-token']);
		const isAccepted = token >= this.#highestToken;
		this.#highestToken = Math.max(this.#highestToken, token);
		this.reports.push({
			...body, token, holder: req.headers['duty-holder'], isAccepted,
		});
		sendJson(res, isAccepted ? 200 : 409, {});
	}

	#answer(res, status, rows, more = {}) {
		sendJson(res, status, {
			rows, recordVersion: this.#version, nowMs: Math.round(performance.now()), ...more,
		});
	}

	#transact(res, {expected = [], setKeys = [], remove = []}) {
		if ([...setKeys, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			this.#answer(res, 403, []);
			return;
		}

		const isMet = expected.every(row => (this.#rows.get(nameOf(row))?.recordVersion ?? 0) === row.recordVersion);
		if (!isMet) {
			this.#answer(res, 412, expected.flatMap(row => this.#rows.get(nameOf(row)) ?? []));
			return;
		}

		this.#commit([...setKeys, ...remove.map(row => ({...row, value: undefined}))]);
		this.#answer(res, 200, []);
	}

	#get(res, {table, part = '', from = '', to, limit = maxRows}) {
		const rows = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		const most = Math.min(maxRows, Number(limit));
		this.#answer(res, 200, rows.slice(0, most), {hasMore: rows.length > most});
	}

	async #feed(res, {table, after, waitMs = 0}) {
		const endMs = performance.now() + Number(waitMs);
		for (;;) {
			const oldestMs = performance.now() - historyMs;
			this.#log = this.#log.filter(({atMs}) => atMs >= oldestMs || this.#log.length < maxRows);
			const rows = this.#log.map(({row}) => row).filter(row => row.table === table && row.recordVersion > Number(after));
			if (rows.length > 0 || performance.now() >= endMs || res.destroyed) {
				this.#answer(res, 200, rows.slice(0, maxRows));
				return;
			}

			await sleep(feedPollMs);
		}
	}
}
