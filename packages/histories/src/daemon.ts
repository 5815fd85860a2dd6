/**
 * One daemon of a fleet over all its restarts: its ports, settings and host id stay the same, its process changes.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {request} from 'undici';
import {loopback} from '@hawthorncleat/test-kit';
import {startChild, type Child, type ChildExit} from './child.js';

const binPath = fileURLToPath(new URL('../../hawthorncleat/bin/hawthorncleat.js', import.meta.url));
const readyPollMs = 50;
const readyLimitMs = 20_000;

/** A setting as the command line takes it. */
export type FlagValue = string | number;

/** What a daemon is started with. */
export type DaemonPlan = {
	readonly name: string;
	readonly kind: 'entry' | 'agent';
	readonly dataCentre: string;
	readonly hostId: string;
	readonly internalPort: number;
	readonly adminPort: number;
	/** All settings by field name. */
	readonly settings: Readonly<Record<string, FlagValue>>;
};

const toFlag = (name: string): string => `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

const toFlags = (settings: DaemonPlan['settings']): string[] =>
	Object.entries(settings).flatMap(([name, value]) => [toFlag(name), String(value)]);

/** A daemon that can be stopped and started again. */
export class Daemon {
	plan: DaemonPlan;
	#child: Child | undefined;
	readonly #signal: AbortSignal;

	constructor(plan: DaemonPlan, signal: AbortSignal) {
		this.plan = plan;
		this.#signal = signal;
	}

	get child(): Child {
		if (!this.#child) {
			throw new Error(`${this.plan.name} has not been started`);
		}

		return this.#child;
	}

	get adminUrl(): string {
		return `http://${loopback}:${this.plan.adminPort}`;
	}

	start(): void {
		if (this.#child?.isRunning) {
			throw new Error(`${this.plan.name} is already running`);
		}

		const {kind, settings} = this.plan;
		this.#child = startChild({command: [process.execPath, binPath, kind, ...toFlags(settings)]}, this.#signal);
	}

	/** Waits until the daemon answers that it is ready. */
	async waitUntilReady(limitMs = readyLimitMs): Promise<void> {
		for (let waitedMs = 0; waitedMs < limitMs; waitedMs += readyPollMs) {
			if (await this.isReady()) {
				return;
			}

			if (!this.child.isRunning) {
				throw new Error(`${this.plan.name} ended before it was ready:\n${this.child.output}`);
			}

			await delay(readyPollMs, undefined, {signal: this.#signal});
		}

		throw new Error(`${this.plan.name} was not ready within ${limitMs} ms:\n${this.child.output}`);
	}

	async isReady(): Promise<boolean> {
		try {
			const {statusCode, body} = await request(`${this.adminUrl}/readyz`, {headersTimeout: 1000, bodyTimeout: 1000});
			await body.dump();
			return statusCode === 200;
		} catch {
			return false;
		}
	}

	/** Waits until this entry has at least the given version of the configuration in force. */
	async waitForVersion(version: number): Promise<void> {
		for (let waitedMs = 0; waitedMs < readyLimitMs; waitedMs += readyPollMs) {
			if (await this.#readVersion() >= version) {
				return;
			}

			await delay(readyPollMs, undefined, {signal: this.#signal});
		}

		throw new Error(`${this.plan.name} did not reach version ${version}:\n${this.child.output}`);
	}

	async kill(): Promise<ChildExit> {
		return this.child.kill();
	}

	async #readVersion(): Promise<number> {
		try {
			const {body} = await request(`${this.adminUrl}/admin/config`, {
				headers: {authorization: `Bearer ${String(this.plan.settings.adminToken)}`}, headersTimeout: 1000, bodyTimeout: 1000,
			});
			return (await body.json() as {version?: number}).version ?? 0;
		} catch {
			return 0;
		}
	}
}
