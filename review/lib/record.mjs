/**
 * The record of a case: a line for each thing that was sent, answered or run, with the time since the start in milliseconds.
 */
import {writeFileSync} from 'node:fs';

export class Recorder {
	#lines = [];
	#startMs = performance.now();

	get nowMs() {
		return performance.now() - this.#startMs;
	}

	note(kind, fields = {}) {
		this.#lines.push(`${this.nowMs.toFixed(0).padStart(6)} ${kind} ${JSON.stringify(fields)}`);
	}

	write(file) {
		writeFileSync(file, `${this.#lines.join('\n')}\n`);
	}
}
