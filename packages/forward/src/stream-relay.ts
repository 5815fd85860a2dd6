/**
 * The caller's side of a stream that may come from several endpoints one after the other: only whole events are passed
 * on, and the answer keeps the headers of its first endpoint.
 */
import type {Buffer} from 'node:buffer';
import type {CallerExchange} from './caller-exchange.js';
import {EventSplitter} from './event-splitter.js';
import type {AdmittedRequest} from './forward-types.js';
import {createTimeLimit, type TimeLimit} from './time-limit.js';
import type {AnswerHead} from './ports.js';

/** Silence between events after which a resumable stream moves. Callers leave after two seconds at the earliest. */
const silenceMs = 1200;
/** Silence before the first event, in latency targets; a prompt that waits its turn is silent, too. */
const firstSilenceTargets = 5;
/** An endpoint that was expected to be slow is silent for longer than expected before it counts as gone. */
const expectedFactor = 2;

/** An event holds a few tokens. */
const maxEventBytes = 1_048_576;

export class StreamRelay {
	readonly #exchange: CallerExchange;
	readonly #splitter = new EventSplitter();
	readonly #resumedFrom: string | undefined;
	#drainListener: (() => void) | undefined;

	constructor(exchange: CallerExchange, resumedFrom: string | undefined) {
		this.#exchange = exchange;
		this.#resumedFrom = resumedFrom;
		exchange.onDrain(() => {
			this.#drainListener?.();
		});
	}

	/** Id of the last event that the caller has. */
	get lastEventId(): string | undefined {
		return this.#splitter.lastEventId ?? this.#resumedFrom;
	}

	get hasEventIds(): boolean {
		return this.#splitter.hasEventIds;
	}

	/** Events that have been passed on. */
	get eventCount(): number {
		return this.#splitter.eventCount;
	}

	/** The event that has begun is longer than any event is. */
	get isEventTooLong(): boolean {
		return this.#splitter.pendingBytes > maxEventBytes;
	}

	onDrain(listener: () => void): void {
		this.#drainListener = listener;
	}

	/** Returns false while the caller reads slower than the stream comes. */
	push(head: AnswerHead, chunk: Buffer): boolean {
		const whole = this.#splitter.push(chunk);
		if (whole.length === 0) {
			return true;
		}

		this.#start(head);
		return this.#exchange.write(whole);
	}

	/** The endpoint's part has broken off; the next one begins with a whole event. */
	discardPartialEvent(): void {
		this.#splitter.discardPartialEvent();
	}

	finish(head: AnswerHead): void {
		this.#start(head);
		this.#exchange.finishStream(this.#splitter.flush());
	}

	/** Ends an attempt whose endpoint has gone silent. `mayMove`: another endpoint may run the request. */
	createStallLimit({route, exchange}: AdmittedRequest, {mayMove, expectedMs}: {readonly mayMove: boolean; readonly expectedMs: number}): TimeLimit {
		const silentMs = Math.max(silenceMs, route.latencyTargetMs * firstSilenceTargets, expectedMs * expectedFactor);
		return createTimeLimit(route.isResumable && mayMove ? silentMs : exchange.limitPastDeadlineMs, exchange.signal);
	}

	#start({status, headers}: AnswerHead): void {
		if (!this.#exchange.hasSentHead) {
			this.#exchange.startStream(status, headers);
		}
	}
}
