/**
 * Test fixture: an endpoint directory without a store, on a manual clock, and the rows and answers that a test applies to it.
 */
import {brandAs, type RegisteredEndpoint, type StoreGeneration} from '@hawthorncleat/core';
import {createManualClock, type ManualClock} from '@hawthorncleat/test-kit';
import {EndpointDirectory, type EndpointChange} from '../endpoint-directory.js';
import {EndpointPool} from '../endpoint-pool.js';
import type {StoreAnswer, StoreRow} from '../../ports.js';

export const heartbeatMs = 1200;

export type DirectoryFixture = {
	readonly clock: ManualClock;
	readonly pool: EndpointPool;
	readonly directory: EndpointDirectory;
	/** What the directory reported, as texts. */
	readonly changes: string[];
	readonly reports: EndpointChange[];
	/** Keys of the rows that could not be applied. */
	readonly failedRows: string[];
	/** Whether requests may be sent to the endpoint. */
	isUsed(id: string): boolean;
};

export const createDirectory = (clock = createManualClock(100_000)): DirectoryFixture => {
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => undefined});
	const changes: string[] = [];
	const reports: EndpointChange[] = [];
	const failedRows: string[] = [];
	const directory = new EndpointDirectory({
		clock,
		pool,
		heartbeatMs,
		readEndpoint: (id, text) => text === 'damaged' ? undefined : {...JSON.parse(text) as RegisteredEndpoint, id},
		onChange(change) {
			const {id, was, is, source} = change;
			reports.push(change);
			changes.push(`${id}: ${was} -> ${is}${source ? ` (${source})` : ''}`);
		},
		onRowError(key) {
			failedRows.push(key);
		},
	});
	return {
		clock, pool, directory, changes, reports, failedRows, isUsed: id => pool.get(id)?.endpoint.isLeaving === false,
	};
};

export const createRow = (key: string, changes: Partial<RegisteredEndpoint> = {}): StoreRow => ({
	key,
	version: 1,
	value: JSON.stringify({
		service: 's', address: '127.0.0.1', port: 1, dataCentre: 'd', slots: 1, isLeaving: false, startedAt: 1, heartbeat: 1, ...changes,
	}),
});

const firstGeneration = brandAs<StoreGeneration>(0);

export const answer = (...rows: StoreRow[]): StoreAnswer => ({
	rows, version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: firstGeneration,
});
