/**
 * Which software version began each recent stream. A caller whose stream breaks off may resume it at any entry, so entries tell each other, and one of them
 * the store. They do so only while several versions are in use: otherwise the version follows from that alone.
 */
import type {Clock, RequestId, SoftwareVersion} from '@hawthorncleat/core';

/** Where a stream began. */
export type StreamOrigin = {readonly service: string; readonly softwareVersion: SoftwareVersion};

/** Streams that began at one version of a service. */
export type StreamNews = StreamOrigin & {readonly ids: readonly RequestId[]};

export type StreamOriginsOptions = {
	readonly clock: Clock;
	/** Whether entries tell each other of the streams of a service. */
	readonly isTold: (service: string) => boolean;
	/** Whether they do so for any service; mostly they do not. */
	readonly isAnyTold: () => boolean;
};

/** A stream of this entry or of a peer. */
type KnownStream = {readonly origin: StreamOrigin; readonly knownMs: number; isSaved: boolean};

type OwnStream = StreamOrigin & {readonly id: RequestId; readonly number: number; readonly begunMs: number};

/** The part of the own streams that some peers have been told. */
type Told = {
	/** The last stream that they have been told twice, because datagrams get lost. */
	readonly twice: number;
	readonly once: number;
};

/** Callers resume a stream before its deadline, which is far sooner. */
const retentionMs = 60_000;
const maxOrigins = 50_000;
/** When a second version comes into use, peers are told of streams that began so long ago at most; most of the others have ended. */
const tellMs = 15_000;
/** With this limit streams fit into a row. */
const maxUnsaved = 500;
/** With this limit the news fills at most a third of a datagram. */
const maxNewPerMessage = 12;
/** Callers choose the ids, and each is kept for a minute. A stream with a longer one counts as unknown. */
const maxIdLength = 64;

export class StreamOrigins {
	readonly #options: StreamOriginsOptions;
	readonly #origins = new Map<RequestId, KnownStream>();
	#own: OwnStream[] = [];
	#begun = 0;
	readonly #told = new Map<string, Told>();
	readonly #waiting = new Map<RequestId, Set<() => void>>();

	constructor(options: StreamOriginsOptions) {
		this.#options = options;
	}

	/** Number of streams whose origin is known. */
	get size(): number {
		return this.#origins.size;
	}

	originOf(id: RequestId): StreamOrigin | undefined {
		return this.#origins.get(id)?.origin;
	}

	/** Records that this entry relays the first event of a stream. A stream that is resumed keeps the id of its first request. */
	recordBegun(id: RequestId, {service, softwareVersion}: StreamOrigin): void {
		if (id.length > maxIdLength) {
			return;
		}

		const begunMs = this.#options.clock.nowMs();
		this.#remember(id, {service, softwareVersion});
		this.#begun += 1;
		this.#own.push({
			id, service, softwareVersion, number: this.#begun, begunMs,
		});
		if (begunMs - this.#own[0]!.begunMs > 2 * tellMs) {
			this.#own = this.#own.filter(stream => begunMs - stream.begunMs <= tellMs);
		}
	}

	/** News for the peers that the name stands for. Each stream is told to them twice. */
	newsToSend(receivers: string): StreamNews[] {
		if (!this.#options.isAnyTold()) {
			return [];
		}

		const {twice, once} = this.#told.get(receivers) ?? {twice: 0, once: 0};
		const sinceMs = this.#options.clock.nowMs() - tellMs;
		const untold = this.#own.filter(({service, number, begunMs}) => number > twice && begunMs >= sinceMs && this.#options.isTold(service));
		const repeated = untold.filter(({number}) => number <= once);
		const first = untold.filter(({number}) => number > once).slice(0, maxNewPerMessage);
		this.#told.set(receivers, {twice: once, once: first.at(-1)?.number ?? once});
		return groupByOrigin([...repeated, ...first]);
	}

	/** Records streams that a peer has begun, or that the store has. */
	applyNews(news: readonly StreamNews[], {isSaved = false}: {readonly isSaved?: boolean} = {}): void {
		for (const {ids, ...origin} of news) {
			for (const id of ids) {
				this.#remember(id, origin, isSaved);
			}
		}
	}

	/** Streams that the store does not have, as far as this entry knows. */
	unsaved(): StreamNews[] {
		if (!this.#options.isAnyTold()) {
			return [];
		}

		const sinceMs = this.#options.clock.nowMs() - tellMs;
		const streams: Array<StreamOrigin & {readonly id: RequestId}> = [];
		for (const [id, {origin, knownMs, isSaved}] of this.#origins) {
			if (!isSaved && knownMs >= sinceMs && this.#options.isTold(origin.service)) {
				streams.push({...origin, id});
			}
		}

		return groupByOrigin(streams.slice(0, maxUnsaved));
	}

	/** Records that the store has these streams. */
	recordSaved(news: readonly StreamNews[]): void {
		for (const id of news.flatMap(({ids}) => ids)) {
			const known = this.#origins.get(id);
			if (known) {
				known.isSaved = true;
			}
		}
	}

	/** Records that the store has returned from an older copy, which may lack any of these streams. */
	recordStoreReturn(): void {
		for (const known of this.#origins.values()) {
			known.isSaved = false;
		}
	}

	/** Waits until the origin of a stream is known, the limit has passed or the signal aborts. */
	async waitForOrigin(id: RequestId, limitMs: number, signal: AbortSignal): Promise<StreamOrigin | undefined> {
		if (!this.#origins.has(id) && !signal.aborted) {
			await this.#waitForNews(id, limitMs, signal);
		}

		return this.originOf(id);
	}

	async #waitForNews(id: RequestId, limitMs: number, signal: AbortSignal): Promise<void> {
		const listeners = this.#waiting.get(id) ?? new Set();
		this.#waiting.set(id, listeners);
		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				signal.removeEventListener('abort', end);
				listeners.delete(end);
				if (listeners.size === 0) {
					this.#waiting.delete(id);
				}

				resolve();
			};

			const timer = setTimeout(end, limitMs);
			signal.addEventListener('abort', end, {once: true});
			listeners.add(end);
		});
	}

	#remember(id: RequestId, origin: StreamOrigin, isSaved = false): void {
		const nowMs = this.#options.clock.nowMs();
		const wasSaved = this.#origins.get(id)?.isSaved ?? false;
		this.#origins.delete(id);
		this.#origins.set(id, {origin, knownMs: nowMs, isSaved: isSaved || wasSaved});
		for (const [oldest, {knownMs}] of this.#origins) {
			if (this.#origins.size <= maxOrigins && nowMs - knownMs < retentionMs) {
				break;
			}

			this.#origins.delete(oldest);
		}

		for (const end of this.#waiting.get(id) ?? []) {
			end();
		}
	}
}

const groupByOrigin = (streams: ReadonlyArray<StreamOrigin & {readonly id: RequestId}>): StreamNews[] => {
	const groups = new Map<string, {readonly service: string; readonly softwareVersion: SoftwareVersion; readonly ids: RequestId[]}>();
	for (const {service, softwareVersion, id} of streams) {
		const key = JSON.stringify([service, softwareVersion]);
		const group = groups.get(key) ?? {service, softwareVersion, ids: []};
		group.ids.push(id);
		groups.set(key, group);
	}

	return [...groups.values()];
};
