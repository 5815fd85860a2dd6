/**
 * Splits a byte stream into lines of UTF-8 text and limits the length of a line.
 */
import {Buffer} from 'node:buffer';

const newline = 0x0A;

/** Longest accepted line; a peer that sends a longer one is disconnected. */
export const maxLineBytes = 1024 * 1024;

/** Thrown when a line exceeds `maxLineBytes`. */
export class LineTooLongError extends Error {}

/** Buffers the bytes of incomplete lines between chunks. */
export class LineReader {
	#pendingChunks: Uint8Array[] = [];
	#pendingBytes = 0;

	/** Returns the lines that the chunk completes. */
	push(chunk: Uint8Array): string[] {
		const lines: string[] = [];
		let start = 0;
		for (let end = chunk.indexOf(newline); end !== -1; end = chunk.indexOf(newline, start)) {
			lines.push(this.#finishLine(chunk.subarray(start, end)));
			start = end + 1;
		}

		if (start < chunk.length) {
			this.#append(chunk.subarray(start));
		}

		return lines;
	}

	#finishLine(tail: Uint8Array): string {
		this.#append(tail);
		const line = this.#pendingChunks.length === 1 ? this.#pendingChunks[0]! : Buffer.concat(this.#pendingChunks);
		this.#pendingChunks = [];
		this.#pendingBytes = 0;
		return Buffer.from(line.buffer, line.byteOffset, line.byteLength).toString('utf8');
	}

	#append(chunk: Uint8Array): void {
		this.#pendingBytes += chunk.length;
		if (this.#pendingBytes > maxLineBytes) {
			throw new LineTooLongError(`line is longer than ${maxLineBytes} bytes`);
		}

		this.#pendingChunks.push(chunk);
	}
}
