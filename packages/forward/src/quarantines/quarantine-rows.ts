/**
 * Keeps quarantines of prompt segments in the store, so that a fleet whose entries have all ended does not lose engines to a known segment again.
 * Entries that run exchange them by gossip and need no store.
 */
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type SegmentKey, type SegmentQuarantine} from '@hawthorncleat/core';
import type {CorrectedClock} from '../store/corrected-clock.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {RowStore, StoreAnswer, StoreRow} from '../ports.js';
import {
	isFields, isListOf, isText, parseJson,
} from '../utils/value-checks.js';
import type {SentQuarantine} from './segment-quarantines.js';

const retryMs = 500;
/** Row keys are short; segments are named by callers. */
const keyLength = 22;

/** A row. Its times are readings of the store's clock. */
type QuarantineRow = {readonly segment: string; readonly companions: readonly string[]; readonly refutedAfterMs: number; readonly untilMs: number};

export type QuarantineRowsOptions = {
	readonly rows: RowStore;
	readonly correctedClock: CorrectedClock;
	/** This entry's clock. */
	readonly nowMs: () => number;
	readonly log: DecisionLog;
};

const rowKey = (segment: SegmentKey): string => createHash('sha256').update(segment).digest('base64url').slice(0, keyLength);

const toRow = ({segment, companions, refutedAfterMs, untilMs}: SegmentQuarantine, storeOffsetMs: number): QuarantineRow => ({
	segment, companions, refutedAfterMs: refutedAfterMs + storeOffsetMs, untilMs: untilMs + storeOffsetMs,
});

/** Readings of the store's clock, and differences to them, may be negative. */
const isReading = (value: unknown): value is number => Number.isFinite(value);

/** A row of an unknown form is no quarantine. */
const readRow = ({value}: StoreRow): QuarantineRow | undefined => {
	const row = parseJson(value ?? '');
	if (!isFields(row)) {
		return undefined;
	}

	const {segment, companions, refutedAfterMs, untilMs} = row;
	return isText(segment) && isListOf(companions, isText) && isReading(refutedAfterMs) && isReading(untilMs)
		? {
			segment, companions, refutedAfterMs, untilMs,
		}
		: undefined;
};

/** Converts the rows that are still in effect. */
export const decodeQuarantines = ({rows, storeNowMs}: StoreAnswer): SentQuarantine[] => rows
	.flatMap(row => readRow(row) ?? [])
	.filter(({untilMs}) => untilMs > storeNowMs)
	.map(({segment, companions, refutedAfterMs, untilMs}) => ({
		segment: brandAs<SegmentKey>(segment),
		companions: companions.map(companion => brandAs<SegmentKey>(companion)),
		refutedAgeMs: storeNowMs - refutedAfterMs,
		remainingMs: untilMs - storeNowMs,
	}));

export class QuarantineRows {
	readonly #options: QuarantineRowsOptions;

	constructor(options: QuarantineRowsOptions) {
		this.#options = options;
	}

	/** Writes quarantines that have begun, or that the store may have lost. Without the store they are only in the memory of the entries. */
	async save(quarantines: readonly SegmentQuarantine[]): Promise<void> {
		const {rows, correctedClock, nowMs, log} = this.#options;
		const storeNowMs = correctedClock.storeNowMs();
		if (storeNowMs === undefined || quarantines.length === 0) {
			return;
		}

		const storeOffsetMs = storeNowMs - nowMs();
		try {
			await rows.write('quarantines', quarantines.map(quarantine => ({
				key: rowKey(quarantine.segment), value: JSON.stringify(toRow(quarantine, storeOffsetMs)),
			})));
		} catch (error) {
			log.writeError('writing a quarantine', error);
		}
	}

	/** Removes the row of a quarantine that a completed run has ended. */
	async remove(segment: SegmentKey): Promise<void> {
		try {
			await this.#options.rows.write('quarantines', [{key: rowKey(segment), value: undefined}]);
		} catch (error) {
			this.#options.log.writeError('removing a quarantine', error);
		}
	}

	/** Reads the quarantines once, as soon as the store answers, and removes the rows that are over. */
	async restore(adopt: (quarantines: readonly SentQuarantine[]) => void, signal: AbortSignal): Promise<void> {
		const {rows} = this.#options;
		while (!signal.aborted) {
			try {
				const answer = await rows.read('quarantines', {}, signal);
				adopt(decodeQuarantines(answer));
				await this.#removeExpired(answer);
				return;
			} catch {
				// The store's availability is logged by the tables that are followed.
				await sleep(retryMs, undefined, {signal}).catch(() => undefined);
			}
		}
	}

	async #removeExpired(answer: StoreAnswer): Promise<void> {
		const expired = answer.rows.filter(row => (readRow(row)?.untilMs ?? 0) <= answer.storeNowMs);
		if (expired.length > 0) {
			await this.#options.rows.write('quarantines', expired.map(({key}) => ({key, value: undefined})));
		}
	}
}
