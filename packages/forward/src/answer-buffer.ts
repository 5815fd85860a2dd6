/**
 * Keeps the bytes of an answer up to a limit. A faulty endpoint may send bytes without end, and an entry that kept them all
 * would run out of memory.
 */
import {Buffer} from 'node:buffer';

/** Answers that this process reads itself, such as the handle of a prefill, are far shorter. */
export const maxControlAnswerBytes = 65_536;
/** Longer answers are passed on as they come, and can no longer be asked for again. */
export const maxBufferedAnswerBytes = 1_048_576;

export const answerTooLongError = new Error('the answer is too long to be kept');

export class AnswerBuffer {
	readonly #maxBytes: number;
	#chunks: Buffer[] = [];
	#size = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Returns false when the answer is too long. */
	append(chunk: Buffer): boolean {
		this.#chunks.push(chunk);
		this.#size += chunk.length;
		return this.#size <= this.#maxBytes;
	}

	/** Returns what has been kept and forgets it. */
	drain(): Buffer {
		const bytes = Buffer.concat(this.#chunks);
		this.#chunks = [];
		this.#size = 0;
		return bytes;
	}
}
