/* eslint-disable @typescript-eslint/naming-convention, unicorn/no-immediate-mutation */
/**
 * Starts the forwarding entry as the deploy file does (`[roles.entry] run`), as a process of its own, with a settings file like that of a small deployment.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';

const root = fileURLToPath(new URL('../..', import.meta.url));
const readyLimitMs = 15_000;
const loopback = '127.0.0.1';

/** Bounds of the standard site files, as a process gets them. */
export const bounds = {
	seedLagS: 3,
	reuseAfterS: 2,
	contactMs: 3000,
	ackMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 8,
	lossSlackMs: 200,
	configApplyMs: 2000,
	downgradeMs: 250,
	maxSkewMs: 5000,
	failClosed: false,
	revokeMs: 5000,
	retryRatio: 0.2,
	retryWindowS: 10,
	retrySlack: 54,
	requireFence: true,
	leaseMs: 3000,
	thawMs: 300,
	reportWindowS: 5,
	usageOff: 0.05,
	usageLateS: 10,
	recoveryS: 12,
	transitMs: 120,
	reuseWindowS: 4.3,
};

/** Free ports, all different: each one stays open until all are known. */
export const findPorts = async count => {
	const servers = Array.from({length: count}, () => createServer());
	for (const server of servers) {
		server.listen(0, loopback);
	}

	await Promise.all(servers.map(async server => server.listening || once(server, 'listening')));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};

/** The words of the deploy file's `run`. */
const readCommand = () => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /\[roles\.entry]\s+run = "([^"]+)"/.exec(text)[1].split(' ');
};

const createSettings = ({name, zone, ports: [front, ready, control, gossip], platformPort, limits}) => ({
	nodeName: name,
	role: 'entry',
	machineClass: 'front',
	serves: ['front', 'control'],
	ip: loopback,
	zone,
	region: 'r',
	zones: {a: 'r', b: 'r'},
	listen: {front: `${loopback}:${front}`, ready: `${loopback}:${ready}`, control: `${loopback}:${control}`},
	portRange: [gossip, gossip],
	seeds: [],
	bootstrap: true,
	countsAsLoss: false,
	limits: {
		cpuShare: 0.513,
		cores: 1,
		linkMbps: 1000,
		diskMb: 0,
		...limits,
	},
	dataDir: null,
	discovery: 'platform',
	entry: 'vip',
	heartbeatMs: 1200,
	contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'tenants', 'leader', 'platform'],
	faultTolerance: {machines: 1, zones: 0, regions: 0},
	bounds,
	platform: {
		address: `${loopback}:${platformPort}`,
		form: 'table',
		writesPerS: 400,
		readsPerS: 2000,
		txMs: 3,
		partWritesPerS: 300,
		rowBytes: 65_536,
		across: true,
		historyS: 20,
		blobBytes: 8_388_608,
		blobMs: 25,
		blobMbPerS: 80,
	},
	cloud: {
		address: `${loopback}:${platformPort}`,
		ratePerS: 50,
		duties: ['usage_report', 'autoscale'],
		dutyPerS: 50,
	},
});

export class Entry {
	/** Lines that the process has written. */
	lines = [];
	exitCode = undefined;
	#process = undefined;
	#settingsFile;
	#metricsPort;

	/** `ports`: five free ones. */
	constructor({folder, zone = 'a', limits = {memoryMb: 350, maxFds: 4100}, ...options}) {
		const {name, ports} = options;
		this.name = name;
		[this.port, this.readyPort] = ports;
		this.#metricsPort = ports.at(-1);
		this.#settingsFile = path.join(folder, `${name}.json`);
		this.settings = createSettings({...options, zone, limits});
	}

	get pid() {
		return this.#process?.pid;
	}

	start() {
		writeFileSync(this.#settingsFile, JSON.stringify(this.settings));
		const [command, ...words] = readCommand();
		const environment = {PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C'};
		environment.HAWTHORNCLEAT_NODE_FILE = this.#settingsFile;
		environment.HAWTHORNCLEAT_METRICS_PORT = String(this.#metricsPort);
		const child = spawn(command === 'node' ? process.execPath : command, words, {cwd: root, env: environment, stdio: ['ignore', 'pipe', 'pipe']});
		this.#process = child;
		this.exitCode = undefined;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', data => {
				this.lines.push(...String(data).split('\n').filter(line => line !== ''));
			});
		}

		child.once('exit', (code, signal) => {
			if (this.#process === child) {
				this.exitCode = code ?? signal;
			}
		});
	}

	signal(name) {
		if (this.#process && this.exitCode === undefined) {
			this.#process.kill(name);
		}
	}

	async isReady() {
		return new Promise(resolve => {
			const req = get(`http://${loopback}:${this.readyPort}/v1/readiness`, {timeout: 900, agent: false}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.once('timeout', () => {
				req.destroy();
			});
			req.once('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady() {
		for (let waitedMs = 0; waitedMs < readyLimitMs; waitedMs += 50) {
			if (await this.isReady()) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`${this.name} is not ready`);
	}

	async waitForExit(limitMs) {
		for (let waitedMs = 0; waitedMs < limitMs && this.exitCode === undefined; waitedMs += 20) {
			await sleep(20);
		}

		return this.exitCode;
	}

	async kill() {
		this.signal('SIGKILL');
		await this.waitForExit(3000);
	}
}
