/**
 * Everything that a case needs: the store, the platform's API, runners and entries, and the config of the operator.
 */
import {createServer} from 'node:http';
import {mkdtempSync, rmSync} from 'node:fs';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {hostname} from './client.mjs';
import {Entry} from './entry.mjs';
import {loopback} from './ports.mjs';
import {Proxy} from './proxy.mjs';
import {Recorder} from './record.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const createRoute = fields => ({
	hostname, timeoutMs: 1000, targetLatencyMs: 121, maxAttempts: 1, priority: 2, public: false, sticky: false, resumable: false, ...fields,
});

const createService = fields => ({
	healthPath: '/healthz', protocol: 'h1', tls: false, ...fields,
});

/** A config like that of the site `mavuno-nbo`. */
export const createConfig = (version, {keys = {acme: ['key-acme'], bolt: ['key-bolt']}, readTimeoutMs = 1000} = {}) => ({
	version,
	routes: [
		createRoute({
			name: 'pallet-hold', pathPrefix: '/hold/', kind: 'non_idempotent', service: 'desk-app',
		}),
		createRoute({
			name: 'stock-lookup', pathPrefix: '/lookup/', kind: 'idempotent', service: 'desk-app', timeoutMs: readTimeoutMs,
		}),
		createRoute({
			name: 'title-match', pathPrefix: '/match/', kind: 'streaming', service: 'reader-models', timeoutMs: 6000, targetLatencyMs: 250, targetGapMs: 200, sticky: true,
		}),
	],
	services: [
		createService({name: 'desk-app', maxConns: 100}),
		createService({name: 'reader-models', maxConns: 300, engine: {kvTokens: 444_000}}),
	],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: Object.entries(keys).map(([name, apiKeys]) => ({name, apiKeys})),
});

export class World {
	recorder = new Recorder();
	store = new Store();
	runners = [];
	entries = [];
	proxies = [];
	#cloud;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	/** Starts the stand-ins and the entries, and waits until all entries are ready. */
	async start({runners, entries}) {
		await this.store.listen();
		const cloudPort = await this.#startCloud();
		this.publish(createConfig(1));
		for (const options of runners) {
			const runner = new Runner({...options, store: this.store}, this.recorder);
			await runner.start();
			this.runners.push(runner);
		}

		for (const options of entries) {
			await this.#prepareEntry(options, cloudPort);
		}

		for (const entry of this.entries) {
			entry.start();
		}

		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
	}

	/** Writes a config; returns when the store has acknowledged it. */
	publish(config) {
		this.store.put('op', 'config', config);
		this.recorder.note('store-ack', {row: 'op/config', version: config.version, tenants: config.tenants});
		return this.recorder.nowMs;
	}

	/** Ids of all requests that have run. */
	get ranIds() {
		return new Set(this.runners.flatMap(({runIds}) => [...runIds]));
	}

	async close() {
		await Promise.all(this.entries.map(async entry => entry.close()));
		for (const runner of this.runners) {
			runner.end();
		}

		for (const part of [...this.proxies, this.store]) {
			part.close();
		}

		this.#cloud.closeAllConnections();
		this.#cloud.close();
		rmSync(this.#folder, {recursive: true});
	}

	/** Each entry reaches the store through a proxy of its own. */
	async #prepareEntry(options, cloudPort) {
		const proxy = new Proxy(this.store.port);
		await proxy.listen();
		this.proxies.push(proxy);
		const entry = new Entry({
			...options, folder: this.#folder, storePort: proxy.port, cloudPort,
		}, this.recorder);
		await entry.prepare();
		this.entries.push(entry);
	}

	async #startCloud() {
		this.#cloud = createServer((req, res) => {
			req.resume();
			req.on('end', () => {
				res.end('{}');
			});
		});
		this.#cloud.listen(0, loopback);
		await once(this.#cloud, 'listening');
		return this.#cloud.address().port;
	}
}

/** Runs a case; its result is whether the rule was broken. Writes the record and sets the exit code. */
export const runCase = async (recordFile, body) => {
	const world = new World();
	const hasTrouble = process.env.TROUBLE !== '0';
	world.recorder.note('case', {hasTrouble});
	let code = 2;
	try {
		const isBroken = await body(world, hasTrouble);
		world.recorder.note('result', {isBroken});
		code = isBroken ? 1 : 0;
	} catch (error) {
		world.recorder.note('error', {message: error.message});
		console.error(error.message);
	} finally {
		await world.close().catch(error => {
			console.error(error.message);
		});
		world.recorder.write(recordFile);
	}

	console.log(['held', 'broken', 'not run'][code]);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
