/**
 * Runs one forwarding entry as a child process. The entry reaches the store only through a relay, which can inject network
 * faults. Ports and relay stay the same over restarts of the process.
 */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	startChild, startRelay, type Child, type Relay,
} from '@hawthorncleat/histories';
import {
	buildEntryEnvironment, findEntryPorts, encodeEntrySettings, type EntryPorts, type RetryLimits,
} from '@hawthorncleat/platform/stand-ins';
import {findFreePort, waitUntil} from '@hawthorncleat/test-kit';

const entryMainFile = fileURLToPath(import.meta.resolve('@hawthorncleat/platform/main'));
const readyTimeoutMs = 20_000;

export type EntryProcessOptions = {
	readonly name: string;
	readonly storePort: number;
	readonly usagePort: number;
	readonly retryLimits: RetryLimits;
	/** The settings file is written here. */
	readonly folder: string;
	readonly onLine: (line: string) => void;
};

/** Ports and store relay of an entry, which stay the same over its restarts. */
type EntryNetwork = {readonly ports: EntryPorts; readonly metricsPort: number; readonly storeRelay: Relay};

export class EntryProcess {
	readonly name: string;
	readonly ports: EntryPorts;
	readonly storeRelay: Relay;
	readonly #options: EntryProcessOptions;
	readonly #metricsPort: number;
	readonly #signal: AbortSignal;
	#child: Child | undefined;
	#isReady = false;

	constructor(options: EntryProcessOptions, {ports, metricsPort, storeRelay}: EntryNetwork, signal: AbortSignal) {
		this.name = options.name;
		this.ports = ports;
		this.storeRelay = storeRelay;
		this.#options = options;
		this.#metricsPort = metricsPort;
		this.#signal = signal;
	}

	get #settingsFile(): string {
		return path.join(this.#options.folder, `${this.name}.json`);
	}

	/** Starts the process without waiting until it is ready. */
	async start(): Promise<void> {
		const {usagePort, retryLimits} = this.#options;
		await writeFile(this.#settingsFile, encodeEntrySettings(this.name, this.ports, {store: this.storeRelay.port, usage: usagePort}, retryLimits));
		this.#isReady = false;
		const isSource = entryMainFile.endsWith('.ts');
		this.#child = startChild({
			command: [process.execPath, ...isSource ? ['--import', 'tsx', '--conditions=source'] : [], entryMainFile],
			env: buildEntryEnvironment(this.#settingsFile, this.#metricsPort),
			onLine: line => {
				this.#isReady ||= line.includes('"event":"ready"');
				this.#options.onLine(line);
			},
		}, this.#signal);
	}

	async waitUntilReady(): Promise<void> {
		await waitUntil(() => this.#isReady, {what: `${this.name} ready`, limitMs: readyTimeoutMs, pollMs: 20});
	}

	signal(name: NodeJS.Signals): void {
		this.#child?.signal(name);
	}

	async kill(): Promise<void> {
		await this.#child?.kill();
	}

	/** Stops the process in the planned way and returns its exit code and how long the stop took. */
	async stop(): Promise<{readonly entry: string; readonly code: number | null; readonly lastedMs: number}> {
		const startMs = performance.now();
		const exit = await this.#child?.stop();
		return {entry: this.name, code: exit?.code ?? null, lastedMs: performance.now() - startMs};
	}
}

/** Reserves ports and starts the store relay of an entry. Its process starts with `start`. */
export const createEntryProcess = async (options: EntryProcessOptions, signal: AbortSignal): Promise<EntryProcess> => {
	const storeRelay = await startRelay({targetPort: options.storePort}, signal);
	const network = {ports: await findEntryPorts(), metricsPort: await findFreePort(), storeRelay};
	return new EntryProcess(options, network, signal);
};
