/**
 * Keeps the software versions in use in the store, one row for each version of a service, so that entries that have all been started again know at which
 * versions streams may have begun before.
 */
import {createHash} from 'node:crypto';
import {brandAs, type SoftwareVersion} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {RowStore, StoreRow} from '../ports.js';
import type {StreamOrigin} from '../streams/stream-origins.js';
import {withTimeLimit} from '../utils/time-limit.js';
import {isFields, isText, parseJson} from '../utils/value-checks.js';

/** Row keys are short; services and versions are named by others. */
const keyLength = 22;
/** A caller that resumes a stream waits for this call. */
const readLimitMs = 500;

const rowKey = ({service, softwareVersion}: StreamOrigin): string =>
	createHash('sha256').update(JSON.stringify([service, softwareVersion])).digest('base64url').slice(0, keyLength);

/** A row of an unknown form names no version. */
const readRow = ({value}: StoreRow): StreamOrigin | undefined => {
	const row = parseJson(value ?? '');
	return isFields(row) && isText(row.service) && typeof row.softwareVersion === 'string'
		? {service: row.service, softwareVersion: brandAs<SoftwareVersion>(row.softwareVersion)}
		: undefined;
};

export class SoftwareRows {
	readonly #rows: RowStore;
	readonly #log: DecisionLog;

	constructor(rows: RowStore, log: DecisionLog) {
		this.#rows = rows;
		this.#log = log;
	}

	/** Returns undefined if the store does not answer in time. */
	async read(): Promise<StreamOrigin[] | undefined> {
		return withTimeLimit(readLimitMs, undefined, async signal => {
			try {
				const {rows} = await this.#rows.read('software', {}, signal);
				return rows.flatMap(row => readRow(row) ?? []);
			} catch (error) {
				this.#log.writeError('reading the software versions', error);
				return undefined;
			}
		});
	}

	/** Returns whether the rows were written. */
	async save(origins: readonly StreamOrigin[]): Promise<boolean> {
		return this.#write('writing software versions', origins.map(origin => ({
			key: rowKey(origin), value: JSON.stringify({service: origin.service, softwareVersion: origin.softwareVersion}),
		})));
	}

	async remove(origins: readonly StreamOrigin[]): Promise<void> {
		await this.#write('removing software versions', origins.map(origin => ({key: rowKey(origin), value: undefined})));
	}

	async #write(what: string, rows: ReadonlyArray<{readonly key: string; readonly value: string | undefined}>): Promise<boolean> {
		try {
			await this.#rows.write('software', rows);
			return true;
		} catch (error) {
			this.#log.writeError(what, error);
			return false;
		}
	}
}
