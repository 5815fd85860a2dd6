/**
 * Splits a stream of events at their ends, so that an event that breaks off in its middle never reaches the caller.
 */
import {Buffer} from 'node:buffer';

const eventEnd = Buffer.from('\n\n');
const idPattern = /^id: ?(?<id>[^\r\n]*)$/gm;
const empty = Buffer.alloc(0);

export class EventSplitter {
	#rest: Buffer = empty;
	#lastId: string | undefined;
	#events = 0;

	/** Id of the last whole event. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whole events so far. */
	get events(): number {
		return this.#events;
	}

	/** Returns the whole events that are there, and keeps the beginning of the next one. */
	push(chunk: Buffer): Buffer {
		const bytes = this.#rest.length > 0 ? Buffer.concat([this.#rest, chunk]) : chunk;
		const end = bytes.lastIndexOf(eventEnd);
		if (end === -1) {
			this.#rest = bytes;
			return empty;
		}

		const whole = bytes.subarray(0, end + eventEnd.length);
		this.#rest = bytes.subarray(end + eventEnd.length);
		this.#note(whole.toString('latin1'));
		return whole;
	}

	/** What is left of a stream that has ended properly. */
	flush(): Buffer {
		const rest = this.#rest;
		this.#rest = empty;
		return rest;
	}

	/** Drops the beginning of an event that broke off. */
	discard(): void {
		this.#rest = empty;
	}

	#note(text: string): void {
		for (const match of text.matchAll(idPattern)) {
			this.#lastId = match.groups!.id;
			this.#events += 1;
		}
	}
}
