/* eslint-disable no-void */
/**
 * What a case needs around its entries: a temporary folder, the platform, the configuration of a small deployment, a record file, and an end that leaves no
 * process behind.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Entry, findPorts} from './entry.mjs';
import {Platform} from './store.mjs';

const portsPerEntry = 5;

/** A configuration like those of the users: one route a kind of request. */
export const buildConfig = ({version = 1, routes, services, tenants = [{name: 'acme', apiKeys: ['k-acme']}], limits = {}}) => ({
	version,
	routes: routes.map(route => ({
		hostname: 'shop.example', public: false, sticky: false, resumable: false, priority: 1, timeoutMs: 2000, targetLatencyMs: 400, targetGapMs: 300, maxAttempts: 1, ...route,
	})),
	services: services.map(service => ({
		healthPath: '/healthz', maxConns: 100, protocol: 'h1', tls: false, ...service,
	})),
	tenants,
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000, ...limits,
	},
});

export class World {
	entries = [];
	isTroubled = process.env.TROUBLE !== '0';
	#lines = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#recordFile;
	#ends = [];

	constructor(caseUrl) {
		this.#recordFile = fileURLToPath(new URL('record.txt', caseUrl));
		this.platform = new Platform();
	}

	/** Milliseconds since the start of the case. */
	get nowMs() {
		return Math.round(performance.now());
	}

	record(text) {
		this.#lines.push(`${String(this.nowMs).padStart(6)} ${text}`);
	}

	/** Runs `end` when the case ends. */
	onEnd(end) {
		this.#ends.push(end);
	}

	async startPlatform(config) {
		await this.platform.start();
		this.platform.put('op', 'config', config);
	}

	async startEntries(count, options = {}) {
		const ports = await findPorts(count * portsPerEntry);
		for (let index = 0; index < count; index += 1) {
			this.entries.push(new Entry({
				name: `front-${index + 1}`, folder: this.#folder, ports: ports.slice(index * portsPerEntry, (index + 1) * portsPerEntry), platformPort: this.platform.port, ...options,
			}));
		}

		for (const entry of this.entries) {
			entry.start();
		}

		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
	}

	async end() {
		await Promise.all(this.entries.map(async entry => entry.kill()));
		for (const end of this.#ends) {
			await end();
		}

		this.platform.stop();
		rmSync(this.#folder, {recursive: true, force: true});
		writeFileSync(this.#recordFile, `${this.#lines.join('\n')}\n`);
	}
}

/** Runs a case: `body` resolves to whether the rule held. Exits with 0 if it held, 1 if it was broken, 2 if the case could not run. */
export const runCase = async (caseUrl, body) => {
	const world = new World(caseUrl);
	let code = 2;
	const limit = setTimeout(() => {
		world.record('the case took too long');
		void world.end().finally(() => process.exit(2)); // eslint-disable-line unicorn/no-process-exit
	}, 115_000);
	try {
		code = await body(world) ? 0 : 1;
	} catch (error) {
		world.record(`the case could not run: ${error.stack}`);
		console.error(error);
	}

	clearTimeout(limit);
	world.record(`exit code ${code}`);
	await world.end();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
