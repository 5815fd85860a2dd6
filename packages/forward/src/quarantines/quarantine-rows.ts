/**
 * Keeps quarantines of prompt segments and of requests in the store, so that a fleet whose entries have all ended does not lose endpoints to a known one again.
 * Entries that run exchange them by gossip and need no store.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	Fingerprint, RequestQuarantine, SegmentKey, SegmentQuarantine,
} from '@hawthorncleat/core';
import type {CorrectedClock} from '../store/corrected-clock.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {RowStore, StoreAnswer} from '../ports.js';
import {
	decodeRows, encodeRequestRow, encodeSegmentRow, findExpiredKeys, requestRowKey, segmentRowKey, type KeptQuarantines, type KeyedRow,
} from './quarantine-row-format.js';

const retryMs = 500;

export type QuarantineRowsOptions = {
	readonly rows: RowStore;
	readonly correctedClock: CorrectedClock;
	/** This entry's clock. */
	readonly nowMs: () => number;
	readonly log: DecisionLog;
};

export class QuarantineRows {
	readonly #options: QuarantineRowsOptions;

	constructor(options: QuarantineRowsOptions) {
		this.#options = options;
	}

	/** Writes quarantines of segments that have begun, or that the store may have lost. Without the store they are only in the memory of the entries. */
	async saveSegments(quarantines: readonly SegmentQuarantine[]): Promise<void> {
		await this.#save(quarantines, encodeSegmentRow);
	}

	/** The same for requests. */
	async saveRequests(quarantines: readonly RequestQuarantine[]): Promise<void> {
		await this.#save(quarantines, encodeRequestRow);
	}

	/** Removes the row of a segment's quarantine that a completed run has ended. */
	async removeSegment(segment: SegmentKey): Promise<void> {
		await this.#remove(segmentRowKey(segment));
	}

	/** The same for a request. */
	async removeRequest(fingerprint: Fingerprint): Promise<void> {
		await this.#remove(requestRowKey(fingerprint));
	}

	/** Reads the quarantines once, as soon as the store answers, and removes the rows that are over. */
	async restore(adopt: (quarantines: KeptQuarantines) => void, signal: AbortSignal): Promise<void> {
		const {rows} = this.#options;
		while (!signal.aborted) {
			try {
				const answer = await rows.read('quarantines', {}, signal);
				adopt(decodeRows(answer));
				await this.#removeExpired(answer);
				return;
			} catch {
				// The store's availability is logged by the tables that are followed.
				await sleep(retryMs, undefined, {signal}).catch(() => undefined);
			}
		}
	}

	/** Writes a row for each item, with the difference of the store's clock to that of this entry. */
	async #save<Item>(items: readonly Item[], encode: (item: Item, storeOffsetMs: number) => KeyedRow): Promise<void> {
		const {rows, correctedClock, nowMs, log} = this.#options;
		const storeNowMs = correctedClock.storeNowMs();
		if (storeNowMs === undefined || items.length === 0) {
			return;
		}

		const storeOffsetMs = storeNowMs - nowMs();
		try {
			await rows.write('quarantines', items.map(item => encode(item, storeOffsetMs)));
		} catch (error) {
			log.writeError('writing a quarantine', error);
		}
	}

	async #remove(key: string): Promise<void> {
		try {
			await this.#options.rows.write('quarantines', [{key, value: undefined}]);
		} catch (error) {
			this.#options.log.writeError('removing a quarantine', error);
		}
	}

	async #removeExpired(answer: StoreAnswer): Promise<void> {
		const keys = findExpiredKeys(answer);
		if (keys.length > 0) {
			await this.#options.rows.write('quarantines', keys.map(key => ({key, value: undefined})));
		}
	}
}
