/**
 * Buffers the bytes of an answer up to a limit. A faulty endpoint may send bytes without end, and an entry that buffered
 * them all would run out of memory.
 */
import {Buffer} from 'node:buffer';

/** Limit for answers that this process reads itself. A valid one, such as the handle of a prefill, is far shorter. */
export const maxControlAnswerBytes = 65_536;
/** Longer answers are relayed as they arrive, after which the request can no longer be retried. */
export const maxBufferedAnswerBytes = 1_048_576;

/** Limit for an answer that is sent only once it is complete, because this entry ends soon. Few requests arrive then, so it may be longer. */
export const maxWholeAnswerBytes = 4_194_304;

export const answerTooLongError = new Error('the answer is too long to be buffered');

export class AnswerBuffer {
	readonly #maxBytes: number;
	#chunks: Buffer[] = [];
	#size = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Returns false when the answer exceeds the limit. */
	append(chunk: Buffer): boolean {
		this.#chunks.push(chunk);
		this.#size += chunk.length;
		return this.#size <= this.#maxBytes;
	}

	/** Returns the buffered bytes and empties the buffer. */
	drain(): Buffer {
		const bytes = Buffer.concat(this.#chunks);
		this.#chunks = [];
		this.#size = 0;
		return bytes;
	}
}
