/**
 * The engine's `GET /events`: cache events as newline-delimited JSON. Each event is sent after a delay, and every nth
 * event can be dropped.
 */
import type {ServerResponse} from 'node:http';
import type {CacheEvent} from './prefix-cache.js';

export type EventStreamOptions = {readonly eventDelayMs: number; readonly loseEveryNthEvent: number};

export class EventStream {
	readonly #options: EventStreamOptions;
	readonly #subscribers = new Set<ServerResponse>();
	readonly #timers = new Set<NodeJS.Timeout>();
	#publishedCount = 0;

	constructor(options: EventStreamOptions, signal: AbortSignal) {
		this.#options = options;
		signal.addEventListener('abort', () => {
			for (const timer of this.#timers) {
				clearTimeout(timer);
			}
		}, {once: true});
	}

	subscribe(res: ServerResponse): void {
		res.writeHead(200, {'content-type': 'application/x-ndjson'});
		res.flushHeaders();
		this.#subscribers.add(res);
		res.on('close', () => {
			this.#subscribers.delete(res);
		});
	}

	publish(event: CacheEvent): void {
		this.#publishedCount += 1;
		const {loseEveryNthEvent, eventDelayMs} = this.#options;
		if (loseEveryNthEvent > 0 && this.#publishedCount % loseEveryNthEvent === 0) {
			return;
		}

		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#send(event);
		}, eventDelayMs);
		this.#timers.add(timer);
	}

	#send(event: CacheEvent): void {
		for (const subscriber of this.#subscribers) {
			subscriber.write(`${JSON.stringify(event)}\n`);
		}
	}
}
