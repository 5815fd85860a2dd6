/**
 * Keeps the origins of recent streams in the store while several software versions are in use, so that streams can go on after all entries have ended at
 * once. One entry writes those of the fleet, which it knows from its peers, in a ring of rows.
 */
import {
	brandAs, type EntryPosition, type RequestId, type SoftwareVersion,
} from '@hawthorncleat/core';
import type {CorrectedClock} from '../store/corrected-clock.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {RowStore, StoreAnswer, StoreRow} from '../ports.js';
import {withTimeLimit} from '../utils/time-limit.js';
import {
	isFields, isListOf, isText, parseJson,
} from '../utils/value-checks.js';
import type {StreamNews, StreamOrigins} from './stream-origins.js';

/** Streams that began this long before all entries ended may be unknown afterwards. Each write is a call that is billed. */
const writeIntervalMs = 90;
/** The ring holds the streams of half a minute, longer than callers wait. */
const ringLength = 300;
/** Rows of entries that have been replaced for good are removed after this time. */
const rowRetentionMs = 120_000;
/** A second read in this time would tell hardly more than messages of peers do. */
const readIntervalMs = 1000;
/** Callers that resume a stream wait for this call. */
const readLimitMs = 500;

export type StreamRowsOptions = {
	readonly rows: RowStore;
	readonly origins: StreamOrigins;
	readonly ownName: string;
	readonly correctedClock: Pick<CorrectedClock, 'storeNowMs'>;
	/** This entry's clock. */
	readonly nowMs: () => number;
	/** Position of this entry among the live ones. The first one writes. */
	readonly position: () => EntryPosition;
	readonly log: DecisionLog;
};

/** A row; `writtenMs` is a reading of the store's clock. */
type StreamRow = {readonly writtenMs: number; readonly streams: readonly StreamNews[]};

const readNews = (value: unknown): StreamNews | undefined => isFields(value) && isText(value.service) && typeof value.softwareVersion === 'string' && isListOf(value.ids, isText)
	? {
		service: value.service,
		softwareVersion: brandAs<SoftwareVersion>(value.softwareVersion),
		ids: value.ids.map(id => brandAs<RequestId>(id)),
	}
	: undefined;

/** A row of an unknown form has no streams. */
const readRow = ({value}: StoreRow): StreamRow | undefined => {
	const row = parseJson(value ?? '');
	return isFields(row) && Number.isFinite(row.writtenMs) && Array.isArray(row.streams)
		? {writtenMs: row.writtenMs as number, streams: row.streams.flatMap(item => readNews(item) ?? [])}
		: undefined;
};

export class StreamRows {
	readonly #options: StreamRowsOptions;
	#slot = 0;
	#isWriting = false;
	#lastWriteMs = Number.NEGATIVE_INFINITY;
	#lastReadMs = Number.NEGATIVE_INFINITY;

	constructor(options: StreamRowsOptions) {
		this.#options = options;
	}

	/** Writes the streams that the store does not have, if this entry is the one that does and the last write is long enough ago. */
	async saveIfDue(): Promise<void> {
		const {nowMs, position, correctedClock} = this.#options;
		const storeNowMs = correctedClock.storeNowMs();
		if (storeNowMs === undefined || this.#isWriting || nowMs() - this.#lastWriteMs < writeIntervalMs || position().index > 0) {
			return;
		}

		this.#lastWriteMs = nowMs();
		this.#isWriting = true;
		await this.#save(storeNowMs);
		this.#isWriting = false;
	}

	/** Reads the rows, unless that was done a moment ago. The origins tell what was found. */
	async readIfDue(): Promise<void> {
		const {rows, nowMs, origins, log} = this.#options;
		if (nowMs() - this.#lastReadMs < readIntervalMs) {
			return;
		}

		this.#lastReadMs = nowMs();
		await withTimeLimit(readLimitMs, undefined, async signal => {
			try {
				const answer = await rows.read('streams', {}, signal);
				origins.applyNews(answer.rows.flatMap(row => readRow(row)?.streams ?? []), {isSaved: true});
				await this.#removeOld(answer);
			} catch (error) {
				log.writeError('reading the origins of streams', error);
			}
		});
	}

	async #save(storeNowMs: number): Promise<void> {
		const {rows, origins, ownName, log} = this.#options;
		const streams = origins.unsaved();
		if (streams.length === 0) {
			return;
		}

		const row: StreamRow = {writtenMs: Math.round(storeNowMs), streams};
		this.#slot = (this.#slot + 1) % ringLength;
		try {
			await rows.write('streams', [{key: `${ownName}/${this.#slot}`, value: JSON.stringify(row)}]);
			origins.recordSaved(streams);
		} catch (error) {
			log.writeError('writing the origins of streams', error);
		}
	}

	async #removeOld({rows: present, storeNowMs}: StoreAnswer): Promise<void> {
		const old = present.filter(row => storeNowMs - (readRow(row)?.writtenMs ?? Number.NEGATIVE_INFINITY) >= rowRetentionMs);
		if (old.length > 0 && this.#options.position().index === 0) {
			await this.#options.rows.write('streams', old.map(({key}) => ({key, value: undefined})));
		}
	}
}
