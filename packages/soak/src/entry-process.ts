/**
 * One forwarding entry: a process of its own, with a relay between it and the store.
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
	buildEntryEnvironment, findEntryPorts, encodeEntrySettings, type EntryPorts,
} from '@hawthorncleat/platform/stand-ins';
import {findFreePort, waitUntil} from '@hawthorncleat/test-kit';

const mainFile = fileURLToPath(import.meta.resolve('@hawthorncleat/platform/main'));
const readyLimitMs = 20_000;

export type EntryProcessOptions = {
	readonly name: string;
	readonly storePort: number;
	readonly usagePort: number;
	/** For the settings file. */
	readonly folder: string;
	readonly onLine: (line: string) => void;
};

/** What an entry keeps over its restarts. */
type EntryPlace = {readonly ports: EntryPorts; readonly metricsPort: number; readonly storeRelay: Relay};

export class EntryProcess {
	readonly name: string;
	readonly ports: EntryPorts;
	readonly storeRelay: Relay;
	readonly #options: EntryProcessOptions;
	readonly #metricsPort: number;
	readonly #signal: AbortSignal;
	#child: Child | undefined;
	#isReady = false;

	constructor(options: EntryProcessOptions, {ports, metricsPort, storeRelay}: EntryPlace, signal: AbortSignal) {
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

	/** Starts the process; it need not be ready. */
	async start(): Promise<void> {
		await writeFile(this.#settingsFile, encodeEntrySettings(this.name, this.ports, this.storeRelay.port, this.#options.usagePort));
		this.#isReady = false;
		const isSource = mainFile.endsWith('.ts');
		this.#child = startChild({
			command: [process.execPath, ...isSource ? ['--import', 'tsx', '--conditions=source'] : [], mainFile],
			env: buildEntryEnvironment(this.#settingsFile, this.#metricsPort),
			onLine: line => {
				this.#isReady ||= line.includes('"event":"ready"');
				this.#options.onLine(line);
			},
		}, this.#signal);
	}

	async waitUntilReady(): Promise<void> {
		await waitUntil(() => this.#isReady, {what: `${this.name} ready`, limitMs: readyLimitMs, pollMs: 20});
	}

	signal(name: NodeJS.Signals): void {
		this.#child?.signal(name);
	}

	async kill(): Promise<void> {
		await this.#child?.kill();
	}

	/** Asks the process to stop and returns how it ended. */
	async stop(): Promise<{readonly entry: string; readonly code: number | null; readonly lastedMs: number}> {
		const startMs = performance.now();
		const exit = await this.#child?.stop();
		return {entry: this.name, code: exit?.code ?? null, lastedMs: performance.now() - startMs};
	}
}

/** Prepares an entry with ports of its own; `start` starts it. */
export const createEntryProcess = async (options: EntryProcessOptions, signal: AbortSignal): Promise<EntryProcess> => {
	const storeRelay = await startRelay({targetPort: options.storePort}, signal);
	const place = {ports: await findEntryPorts(), metricsPort: await findFreePort(), storeRelay};
	return new EntryProcess(options, place, signal);
};
