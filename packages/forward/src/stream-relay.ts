/**
 * The caller's side of a stream that may be resumed at another endpoint. Only complete events are relayed, and the answer
 * keeps the headers of the first endpoint.
 */
import type {Buffer} from 'node:buffer';
import type {CallerExchange} from './caller-exchange.js';
import {EventSplitter} from './event-splitter.js';
import type {AdmittedRequest} from './forward-types.js';
import {createTimeLimit, type TimeLimit} from './time-limit.js';
import type {AnswerHead} from './ports.js';

/** Minimum time without bytes after which a resumable stream moves. Callers disconnect after two seconds at the earliest. */
const minStallMs = 1200;
/** The same minimum in latency targets of the route: a stream whose prompt is still queued gets no bytes either. */
const minStallInLatencyTargets = 5;
/** The same minimum in expected times to the first token: an endpoint that was expected to be slow must not count as lost. */
const minStallInExpectedTimes = 2;

/** An event holds only a few tokens, so a longer one is a fault of the endpoint. */
const maxEventBytes = 1_048_576;

export class StreamRelay {
	readonly #exchange: CallerExchange;
	readonly #splitter = new EventSplitter();
	readonly #resumedEventId: string | undefined;
	#drainListener: (() => void) | undefined;

	constructor(exchange: CallerExchange, resumedEventId: string | undefined) {
		this.#exchange = exchange;
		this.#resumedEventId = resumedEventId;
		exchange.onDrain(() => {
			this.#drainListener?.();
		});
	}

	/** Id of the last event that the caller has received. */
	get lastEventId(): string | undefined {
		return this.#splitter.lastEventId ?? this.#resumedEventId;
	}

	get hasEventIds(): boolean {
		return this.#splitter.hasEventIds;
	}

	/** Number of events that have been relayed. */
	get eventCount(): number {
		return this.#splitter.eventCount;
	}

	/** Whether the incomplete event exceeds the size limit of an event. */
	get isEventTooLong(): boolean {
		return this.#splitter.pendingBytes > maxEventBytes;
	}

	onDrain(listener: () => void): void {
		this.#drainListener = listener;
	}

	/** Relays complete events. Returns false while the caller reads more slowly than the stream arrives. */
	push(head: AnswerHead, chunk: Buffer): boolean {
		const whole = this.#splitter.push(chunk);
		if (whole.length === 0) {
			return true;
		}

		this.#start(head);
		return this.#exchange.write(whole);
	}

	/** Drops the truncated event of an endpoint that failed; the next endpoint begins with a complete event. */
	discardPartialEvent(): void {
		this.#splitter.discardPartialEvent();
	}

	finish(head: AnswerHead): void {
		this.#start(head);
		this.#exchange.finishStream(this.#splitter.flush());
	}

	/** Creates the time limit that ends an attempt without bytes from its endpoint. `mayMove`: another endpoint may run the request. */
	createStallLimit({route, exchange}: AdmittedRequest, {mayMove, expectedMs}: {readonly mayMove: boolean; readonly expectedMs: number}): TimeLimit {
		const stallMs = Math.max(minStallMs, route.latencyTargetMs * minStallInLatencyTargets, expectedMs * minStallInExpectedTimes);
		return createTimeLimit(route.isResumable && mayMove ? stallMs : exchange.limitPastDeadlineMs, exchange.signal);
	}

	#start({status, headers}: AnswerHead): void {
		if (!this.#exchange.hasSentHead) {
			this.#exchange.startStream(status, headers);
		}
	}
}
