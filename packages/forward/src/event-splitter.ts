/**
 * Splits a stream of events at their ends, so that an event that breaks off in its middle never reaches the caller.
 */
import {Buffer} from 'node:buffer';

const eventEnd = Buffer.from('\n\n');
const idField = Buffer.from('id:');
const idLine = Buffer.from('\nid:');
const lineEnd = 0x0A;
const empty = Buffer.alloc(0);

export class EventSplitter {
	#rest: Buffer = empty;
	#lastId: string | undefined;
	#hasEvents = false;
	#events = 0;

	/** Id of the last whole event. */
	get lastEventId(): string | undefined {
		return this.#lastId;
	}

	/** Whether a whole event has come. */
	get hasEventIds(): boolean {
		return this.#hasEvents;
	}

	/** Whole events that have come. */
	get eventCount(): number {
		return this.#events;
	}

	/** Bytes of an event whose end has not come. */
	get pendingBytes(): number {
		return this.#rest.length;
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
		this.#note(whole);
		this.#count(whole);
		return whole;
	}

	/** What is left of a stream that has ended properly. */
	flush(): Buffer {
		const rest = this.#rest;
		this.#rest = empty;
		return rest;
	}

	/** Drops the beginning of an event that broke off. */
	discardPartialEvent(): void {
		this.#rest = empty;
	}

	#count(whole: Buffer): void {
		for (let at = whole.indexOf(eventEnd); at !== -1; at = whole.indexOf(eventEnd, at + eventEnd.length)) {
			this.#events += 1;
		}
	}

	/** Reads the id of the last event; the bytes before it are not looked at. */
	#note(whole: Buffer): void {
		const line = whole.lastIndexOf(idLine);
		if (line === -1 && !whole.subarray(0, idField.length).equals(idField)) {
			return;
		}

		const start = line === -1 ? idField.length : line + idLine.length;
		this.#lastId = whole.toString('latin1', start, whole.indexOf(lineEnd, start)).trim();
		this.#hasEvents = true;
	}
}
