/**
 * The caller's side of a stream that may be resumed at another endpoint. Only complete events are relayed, and the answer
 * keeps the headers of the first endpoint.
 */
import type {Buffer} from 'node:buffer';
import type {SoftwareVersion} from '@hawthorncleat/core';
import type {CallerExchange} from '../callers/caller-exchange.js';
import type {AdmittedRequest} from '../requests/admitted-request.js';
import type {AnswerHead} from '../ports.js';
import type {EventSplitter} from './event-splitter.js';

/** Minimum time without bytes after which a stream counts as stalled. Callers disconnect after two seconds at the earliest. */
const minStallMs = 1200;
/** The same minimum in latency targets of the route: a stream whose prompt is still queued gets no bytes either. */
const minStallInLatencyTargets = 5;
/** The same minimum in expected times to the first token: an endpoint that was expected to be slow must not count as lost. */
const minStallInExpectedTimes = 2;

/** Time without bytes after which a stream counts as stalled. `expectedMs`: expected time until the first token. */
export const streamStallMs = ({route}: AdmittedRequest, expectedMs: number): number =>
	Math.max(minStallMs, route.latencyTargetMs * minStallInLatencyTargets, expectedMs * minStallInExpectedTimes);

export class StreamRelay {
	readonly #exchange: CallerExchange;
	#softwareVersion: SoftwareVersion | undefined;
	#lastEventId: string | undefined;
	#hasEventIds = false;
	#drainListener: (() => void) | undefined;

	constructor(exchange: CallerExchange, resumedEventId: string | undefined) {
		this.#exchange = exchange;
		this.#lastEventId = resumedEventId;
		exchange.onDrain(() => {
			this.#drainListener?.();
		});
	}

	/** Id of the last event that the caller has received. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** Software version of the endpoint that began the stream, the only one at which it may go on; undefined until it has begun. */
	get softwareVersion(): SoftwareVersion | undefined {
		return this.#softwareVersion;
	}

	/** Whether an event with an id has been relayed. */
	get hasEventIds(): boolean {
		return this.#hasEventIds;
	}

	/** Records the software version that begins the stream. Later calls have no effect. */
	begin(version: SoftwareVersion): void {
		this.#softwareVersion ??= version;
	}

	onDrain(listener: () => void): void {
		this.#drainListener = listener;
	}

	/** Relays complete events of an attempt. Returns false while the caller reads more slowly than the stream arrives. */
	write(head: AnswerHead, events: Buffer, {lastEventId, hasEventIds}: EventSplitter): boolean {
		this.#lastEventId = lastEventId ?? this.#lastEventId;
		this.#hasEventIds ||= hasEventIds;
		this.#start(head);
		return this.#exchange.write(events);
	}

	finish(head: AnswerHead, lastBytes: Buffer): void {
		this.#start(head);
		this.#exchange.finishStream(lastBytes);
	}

	#start({status, headers}: AnswerHead): void {
		if (!this.#exchange.hasBegunAnswer) {
			this.#exchange.startStream(status, headers);
		}
	}
}
