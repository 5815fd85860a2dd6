/**
 * Writes one line of JSON for each decision. Logging never blocks the process: lines above a rate limit, or while the reader
 * of the output is slow, are dropped and counted.
 */
import type {Clock} from '@hawthorncleat/core';

/** Destination of the lines. `pendingBytes` is the number of bytes that the reader has not read yet. */
export type LineOutput = {
	write(line: string): void;
	pendingBytes(): number;
};

/** Events that are rare and explain the others. They are exempt from the rate limit and dropped only while the reader is slow. */
const unlimitedEvents = [
	'start', 'accept', 'ready', 'stop', 'stopped', 'reload', 'config', 'endpoint', 'peer', 'dependency', 'lease', 'usage', 'role', 'quarantine', 'software',
] as const;

export type LogEvent = typeof unlimitedEvents[number] | 'account' | 'attempt' | 'caller-limits' | 'error' | 'request' | 'stall';

/** Limit for all events outside `unlimitedEvents`. At the busiest entries a request writes two lines. */
const maxRequestLinesPerSecond = 400;
const maxPendingBytes = 256 * 1024;

const isUnlimited = (event: LogEvent): boolean => (unlimitedEvents as readonly LogEvent[]).includes(event);

export class DecisionLog {
	readonly #clock: Clock;
	readonly #output: LineOutput;
	readonly #host: string;
	#currentSecond = -1;
	#linesInSecond = 0;
	#droppedSinceLastLine = 0;
	#droppedTotal = 0;

	constructor(clock: Clock, output: LineOutput, host: string) {
		this.#clock = clock;
		this.#output = output;
		this.#host = host;
	}

	/** Number of lines dropped since the start. */
	get droppedLines(): number {
		return this.#droppedTotal;
	}

	write(event: LogEvent, fields: Readonly<Record<string, unknown>>): void {
		const nowMs = this.#clock.nowMs();
		if (!this.#mayWrite(event, nowMs)) {
			this.#droppedSinceLastLine += 1;
			this.#droppedTotal += 1;
			return;
		}

		const droppedField = this.#droppedSinceLastLine > 0 ? {droppedLines: this.#droppedSinceLastLine} : {};
		this.#droppedSinceLastLine = 0;
		this.#output.write(`${JSON.stringify({
			atMs: Math.round(nowMs), host: this.#host, event, ...fields, ...droppedField,
		})}\n`);
	}

	/** Logs an error; `what` names the operation that failed. */
	writeError(what: string, error: unknown): void {
		this.write('error', {what, problem: error instanceof Error ? error.message : String(error)});
	}

	/** Logs the exception of a background task with its stack. `restartMs` is the pause until the task starts again. */
	writeTaskFailure({task, error, restartMs}: {readonly task: string; readonly error: unknown; readonly restartMs?: number}): void {
		this.write('error', {what: `running the task ${task}`, problem: error instanceof Error ? error.stack ?? error.message : String(error), restartMs});
	}

	#mayWrite(event: LogEvent, nowMs: number): boolean {
		if (this.#output.pendingBytes() > maxPendingBytes) {
			return false;
		}

		if (isUnlimited(event)) {
			return true;
		}

		const second = Math.floor(nowMs / 1000);
		if (second !== this.#currentSecond) {
			this.#currentSecond = second;
			this.#linesInSecond = 0;
		}

		this.#linesInSecond += 1;
		return this.#linesInSecond <= maxRequestLinesPerSecond;
	}
}
