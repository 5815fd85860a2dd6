/**
 * Stand-in for the platform's store: versioned rows, conditional transactions and feeds of changes, as PROTOCOL.md tells them. It is sound: it answers
 * each call and loses nothing. It takes rows of the operator, of runners and of other writers by `put`.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {loopback} from './ports.mjs';

const protectedTables = new Set(['op', 'servers']);
const maxRowsPerAnswer = 500;

const nameOf = ({table, part, key}) => JSON.stringify([table, part, key]);

const readText = async req => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

export class Store {
	port = 0;
	#rows = new Map();
	#version = 1;
	#waiting = new Set();
	#server;

	async listen() {
		this.#server = createServer({keepAliveTimeout: 60_000}, async (req, res) => {
			await this.#answer(req, res);
		});
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
		this.port = this.#server.address().port;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a row on behalf of the operator, a runner or another writer; undefined removes it. */
	put(table, key, value) {
		this.putText(table, key, value === undefined ? undefined : JSON.stringify(value));
	}

	putText(table, key, text) {
		this.#version += 1;
		this.#set({table, part: '', key}, text === undefined ? undefined : Buffer.from(text).toString('base64'));
		this.#wake();
	}

	#set({table, part, key}, value) {
		this.#rows.set(nameOf({table, part, key}), {
			table, part, key, value: value ?? '', recordVersion: this.#version, ...value === undefined && {deleted: true},
		});
	}

	#wake() {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#list(table) {
		return [...this.#rows.values()].filter(row => row.table === table);
	}

	async #answer(req, res) {
		const body = await readText(req).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		const {pathname, searchParams} = new URL(req.url, 'http://store');
		const [status, answer] = await this.#call(pathname, searchParams, {body, res});
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify({...answer, recordVersion: answer.recordVersion ?? this.#version, nowMs: Math.round(performance.now())}));
	}

	async #call(pathname, params, {body, res}) {
		if (pathname === '/v1/rows-get') {
			return [200, this.#get(params)];
		}

		if (pathname === '/v1/rows-feed') {
			return [200, await this.#feed(params, res)];
		}

		return pathname === '/v1/rows-tx' ? this.#transact(JSON.parse(body)) : [404, {}];
	}

	#get(params) {
		const from = params.get('from') ?? '';
		const to = params.get('to');
		const limit = Math.min(maxRowsPerAnswer, Number(params.get('limit') ?? maxRowsPerAnswer));
		const rows = this.#list(params.get('table'))
			.filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		return {rows: rows.slice(0, limit), hasMore: rows.length > limit};
	}

	async #feed(params, res) {
		const after = Number(params.get('after'));
		const changed = () => this.#list(params.get('table')).filter(({recordVersion}) => recordVersion > after);
		const endMs = performance.now() + Number(params.get('waitMs'));
		while (changed().length === 0 && performance.now() < endMs && !res.destroyed) {
			await this.#nextChange(endMs - performance.now());
		}

		return {rows: changed().toSorted((a, b) => a.recordVersion - b.recordVersion)};
	}

	async #nextChange(limitMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, limitMs);
			this.#waiting.add(wake);
		});
	}

	#transact({expected = [], setKeys = [], remove = []}) {
		if ([...setKeys, ...remove].some(({table}) => protectedTables.has(table))) {
			return [403, {}];
		}

		const find = row => {
			const found = this.#rows.get(nameOf(row));
			return found?.deleted ? undefined : found;
		};

		if (expected.some(row => (find(row)?.recordVersion ?? 0) !== row.recordVersion)) {
			return [412, {rows: expected.map(row => find(row)).filter(Boolean)}];
		}

		this.#version += 1;
		for (const row of setKeys) {
			this.#set(row, row.value);
		}

		for (const row of remove) {
			this.#set(row, undefined);
		}

		const recordVersion = this.#version;
		this.#wake();
		return [200, {recordVersion}];
	}
}
