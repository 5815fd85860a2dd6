/**
 * A process of the system: the program and the arguments of the deploy file, with settings like those of a small deployment. The platform's part is to start it
 * again shortly after it has ended.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {spawn} from 'node:child_process';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {findFreePort, loopback, waitUntil} from './ports.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const restartMs = 500;

/** Bounds of the site `mavuno-nbo`. */
export const bounds = {
	seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeMs: 250, maxSkewMs: 5000, failClosed: false,
	revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 54, requireFence: true, leaseMs: 3000, thawMs: 300, reportWindowS: 5, usageOff: 0.05, usageLateS: 10, recoveryS: 12,
	transitMs: 120, reuseWindowS: 4.3,
};

/** The command of the only role in the deploy file. */
const readCommand = () => /^run = "(?<command>[^"]+)"/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.command.split(' ');

/** The settings file, and a port for the metrics, which entries on one machine can't share. */
const createEnvironment = (settingsFile, metricsPort) => Object.fromEntries([
	['HAWTHORNCLEAT_NODE_FILE', settingsFile], ['HAWTHORNCLEAT_METRICS_PORT', String(metricsPort)],
]);

export class Entry {
	name;
	ports;
	/** Ends of the process: time and exit code. */
	ends = [];
	#options;
	#recorder;
	#child;
	#isClosing = false;

	/** Options: `name`, `zone`, `folder`, `storePort` and `cloudPort`. */
	constructor(options, recorder) {
		this.name = options.name;
		this.#options = options;
		this.#recorder = recorder;
	}

	async prepare() {
		this.ports = {
			front: await findFreePort(), ready: await findFreePort(), control: await findFreePort(), gossip: await findFreePort(), metrics: await findFreePort(),
		};
		writeFileSync(this.#settingsFile, JSON.stringify(this.#settings));
	}

	start() {
		const [program, ...args] = readCommand();
		this.#child = spawn(program, args, {
			cwd: root, env: {...process.env, ...createEnvironment(this.#settingsFile, this.ports.metrics)}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child.stdout.on('data', chunk => {
			this.#recordDecisions(String(chunk));
		});
		this.#child.stderr.on('data', chunk => {
			this.#recorder.note('stderr', {entry: this.name, text: String(chunk).replaceAll(root, '').slice(0, 1500)});
		});
		this.#child.once('exit', (code, signal) => {
			this.#handleExit(code, signal);
		});
		this.#recorder.note('process-start', {entry: this.name});
	}

	/** Sends a signal to the process. */
	signal(name) {
		this.#recorder.note('signal', {entry: this.name, signal: name});
		this.#child.kill(name);
	}

	async isReady() {
		return new Promise(resolve => {
			const req = get({
				host: loopback, port: this.ports.ready, path: '/v1/readiness', agent: false, timeout: 500,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('error', () => resolve(false));
			req.on('timeout', () => req.destroy());
		});
	}

	async waitUntilReady(limitMs = 20_000) {
		const endMs = performance.now() + limitMs;
		while (!await this.isReady()) {
			if (performance.now() > endMs) {
				throw new Error(`${this.name} is not ready`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}
	}

	async close() {
		this.#isClosing = true;
		this.#child.kill('SIGKILL');
		await waitUntil(() => this.#child.exitCode !== null || this.#child.signalCode !== null, `${this.name} has ended`);
	}

	get #settingsFile() {
		return path.join(this.#options.folder, `${this.name}.json`);
	}

	get #settings() {
		const {zone, storePort, cloudPort} = this.#options;
		return {
			nodeName: this.name,
			role: 'entry',
			machineClass: 'front',
			serves: ['front', 'control'],
			ip: loopback,
			zone,
			region: 'ke-central',
			zones: {ruaraka: 'ke-central', embakasi: 'ke-central'},
			listen: {front: `${loopback}:${this.ports.front}`, ready: `${loopback}:${this.ports.ready}`, control: `${loopback}:${this.ports.control}`},
			portRange: [this.ports.gossip, this.ports.gossip],
			seeds: [],
			bootstrap: true,
			countsAsLoss: false,
			limits: {
				cpuShare: 0.513, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
			},
			dataDir: null,
			discovery: 'platform',
			entry: 'vip',
			heartbeatMs: 1200,
			bounds,
			platform: {
				address: `${loopback}:${storePort}`, form: 'table', writesPerS: 400, readsPerS: 2000, txMs: 3, partWritesPerS: 300, rowBytes: 65_536, across: true, historyS: 20,
			},
			cloud: {
				address: `${loopback}:${cloudPort}`, ratePerS: 50, duties: ['usage_report'], dutyPerS: 50,
			},
		};
	}

	/** Keeps the lines that tell what the process believes. */
	#recordDecisions(text) {
		for (const line of text.split('\n').filter(part => /"event":"(?:config|dependency|endpoint|lease|ready|start)"/.test(part))) {
			this.#recorder.note('log', {entry: this.name, line});
		}
	}

	#handleExit(code, signal) {
		this.ends.push({atMs: this.#recorder.nowMs, code, signal});
		this.#recorder.note('process-end', {entry: this.name, code, signal});
		if (!this.#isClosing) {
			setTimeout(() => {
				if (!this.#isClosing) {
					this.start();
				}
			}, restartMs);
		}
	}
}
