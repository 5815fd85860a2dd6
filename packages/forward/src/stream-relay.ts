/**
 * The caller's side of a stream that may come from several endpoints one after the other: only whole events are passed
 * on, and the answer keeps the headers of its first endpoint.
 */
import type {Buffer} from 'node:buffer';
import type {CallerExchange} from './caller-exchange.js';
import {EventSplitter} from './event-splitter.js';
import type {AdmittedRequest} from './forward-request.js';
import type {AnswerHead} from './ports.js';

/** Ends an attempt whose endpoint has gone silent, if the stream can be resumed elsewhere. */
export type SilenceWatch = {
	readonly signal: AbortSignal;
	readonly isSilent: boolean;
	note(): void;
	stop(): void;
};

/** Silence between events after which a resumable stream moves. Callers leave after two seconds at the earliest. */
const silenceMs = 1200;
/** Silence before the first event, in latency targets; a prompt that waits its turn is silent, too. */
const firstSilenceTargets = 5;

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
	get lastId(): string | undefined {
		return this.#splitter.lastId ?? this.#resumedFrom;
	}

	get events(): number {
		return this.#splitter.events;
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
	breakOff(): void {
		this.#splitter.discard();
	}

	finish(head: AnswerHead): void {
		this.#start(head);
		this.#exchange.finishStream(this.#splitter.flush());
	}

	/** `mayMove`: another endpoint may run the request. */
	createSilenceWatch({route, exchange}: AdmittedRequest, mayMove: boolean): SilenceWatch {
		const controller = new AbortController();
		const signal = AbortSignal.any([exchange.signal, controller.signal]);
		let isSilent = false;
		const end = (): void => {
			isSilent = true;
			controller.abort();
		};

		const firstMs = Math.max(silenceMs, route.latencyTargetMs * firstSilenceTargets);
		const timer = route.isResumable && mayMove ? setTimeout(end, firstMs) : undefined;
		return {
			signal,
			get isSilent() {
				return isSilent;
			},
			note() {
				timer?.refresh();
			},
			stop() {
				clearTimeout(timer);
			},
		};
	}

	#start({status, headers}: AnswerHead): void {
		if (!this.#exchange.hasHead) {
			this.#exchange.startStream(status, headers);
		}
	}
}
