/**
 * One line of JSON for each decision. Lines never hold up the process: beyond a rate, or while the reader of the output is
 * slow, they are left out and counted.
 */
import type {Clock} from '@hawthorncleat/core';

/** Where lines go. `pendingBytes` is what the reader has not taken yet. */
export type LineOutput = {
	write(line: string): void;
	pendingBytes(): number;
};

export type LogEvent
	= | 'start' | 'ready' | 'stop' | 'stopped' | 'reload' | 'config' | 'endpoint' | 'peer' | 'dependency' | 'request' | 'attempt' | 'lease' | 'usage' | 'role' | 'error';

/** Lines of requests in one second; at the busiest entries of today a request writes two. */
const linesPerSecond = 400;
const maxPendingBytes = 256 * 1024;
/** Events that are rare and explain the others; only a slow reader leaves them out. */
const alwaysWritten = new Set<LogEvent>(['start', 'ready', 'stop', 'stopped', 'reload', 'config', 'endpoint', 'peer', 'dependency', 'lease', 'usage', 'role']);

export class DecisionLog {
	readonly #clock: Clock;
	readonly #output: LineOutput;
	readonly #host: string;
	#second = -1;
	#lines = 0;
	#dropped = 0;
	#droppedTotal = 0;

	constructor(clock: Clock, output: LineOutput, host: string) {
		this.#clock = clock;
		this.#output = output;
		this.#host = host;
	}

	/** Lines left out since the start. */
	get droppedLines(): number {
		return this.#droppedTotal;
	}

	write(event: LogEvent, fields: Readonly<Record<string, unknown>>): void {
		const nowMs = this.#clock.nowMs();
		if (!this.#mayWrite(event, nowMs)) {
			this.#dropped += 1;
			this.#droppedTotal += 1;
			return;
		}

		const left = this.#dropped > 0 ? {droppedLines: this.#dropped} : {};
		this.#dropped = 0;
		this.#output.write(`${JSON.stringify({
			atMs: Math.round(nowMs), host: this.#host, event, ...fields, ...left,
		})}\n`);
	}

	writeError(what: string, error: unknown): void {
		this.write('error', {what, problem: error instanceof Error ? error.message : String(error)});
	}

	#mayWrite(event: LogEvent, nowMs: number): boolean {
		if (this.#output.pendingBytes() > maxPendingBytes) {
			return false;
		}

		if (alwaysWritten.has(event)) {
			return true;
		}

		const second = Math.floor(nowMs / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#lines = 0;
		}

		this.#lines += 1;
		return this.#lines <= linesPerSecond;
	}
}
