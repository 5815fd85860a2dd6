/**
 * Splits a stream of server-sent events at the event boundaries, so that a truncated event never reaches the caller.
 */
import {Buffer} from 'node:buffer';

const eventEnd = Buffer.from('\n\n');
const idFieldStart = Buffer.from('id:');
const idLineStart = Buffer.from('\nid:');
const newline = 0x0A;
const colon = 0x3A;
const empty = Buffer.alloc(0);
/** An event holds only a few tokens, so a longer one is a fault of the endpoint. */
const maxEventBytes = 1_048_576;

/** Whether each line of an event is a comment. */
const isComment = (event: Buffer): boolean => {
	for (let start = 0; start < event.length; start = event.indexOf(newline, start) + 1) {
		if (event[start] !== colon) {
			return false;
		}

		if (!event.includes(newline, start)) {
			return true;
		}
	}

	return true;
};

export class EventSplitter {
	#partialEvent: Buffer = empty;
	#lastEventId: string | undefined;
	#hasEventIds = false;
	#eventCount = 0;

	/** Id of the last complete event. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** Whether a complete event with an id has arrived. */
	get hasEventIds(): boolean {
		return this.#hasEventIds;
	}

	/** Number of complete events that have arrived, without those that consist of comments only. */
	get eventCount(): number {
		return this.#eventCount;
	}

	/** Whether the incomplete event exceeds the size limit of an event. */
	get isEventTooLong(): boolean {
		return this.#partialEvent.length > maxEventBytes;
	}

	/** Whether the last event is incomplete. */
	get isInsideEvent(): boolean {
		return this.#partialEvent.length > 0;
	}

	/** Adds bytes and returns the complete events; buffers the beginning of the next event. */
	push(chunk: Buffer): Buffer {
		const bytes = this.#partialEvent.length > 0 ? Buffer.concat([this.#partialEvent, chunk]) : chunk;
		const end = bytes.lastIndexOf(eventEnd);
		if (end === -1) {
			this.#partialEvent = bytes;
			return empty;
		}

		const whole = bytes.subarray(0, end + eventEnd.length);
		this.#partialEvent = bytes.subarray(end + eventEnd.length);
		this.#readId(whole);
		this.#count(whole);
		return whole;
	}

	/** Returns and clears the buffered bytes of an answer that is no event stream. */
	flush(): Buffer {
		const bytes = this.#partialEvent;
		this.#partialEvent = empty;
		return bytes;
	}

	#count(whole: Buffer): void {
		let start = 0;
		for (let end = whole.indexOf(eventEnd); end !== -1; end = whole.indexOf(eventEnd, start)) {
			this.#eventCount += isComment(whole.subarray(start, end)) ? 0 : 1;
			start = end + eventEnd.length;
		}
	}

	/** Reads the id of the last event, searching backwards. */
	#readId(whole: Buffer): void {
		const line = whole.lastIndexOf(idLineStart);
		if (line === -1 && !whole.subarray(0, idFieldStart.length).equals(idFieldStart)) {
			return;
		}

		const start = line === -1 ? idFieldStart.length : line + idLineStart.length;
		this.#lastEventId = whole.toString('latin1', start, whole.indexOf(newline, start)).trim();
		this.#hasEventIds = true;
	}
}
