/**
 * Counts the calls to the platform's store by table and operation. The calls of all entries together are rate-limited and billed.
 */
import type {Platform, StoreTable} from '../ports.js';

export type StoreOperation = 'read' | 'transact' | 'watch' | 'write';

/** The table `state` has the leases and the recorded usage report. */
export type StoreCall = {readonly table: StoreTable | typeof stateTable; readonly operation: StoreOperation};

const stateTable = 'state';

/** The same platform, with each call to its store counted. A read of several pages and a write of many rows count once. */
export const countStoreCalls = (platform: Platform, onCall: (call: StoreCall) => void): Platform => {
	const {rows, table} = platform;
	return {
		...platform,
		rows: {
			async read(name, range, signal) {
				onCall({table: name, operation: 'read'});
				return rows.read(name, range, signal);
			},
			async watch(name, watch, signal) {
				onCall({table: name, operation: 'watch'});
				return rows.watch(name, watch, signal);
			},
			async write(name, changes) {
				onCall({table: name, operation: 'write'});
				await rows.write(name, changes);
			},
		},
		table: {
			...table.generation && {generation: () => table.generation!()},
			async read(key) {
				onCall({table: stateTable, operation: 'read'});
				return table.read(key);
			},
			async scan(prefix, options) {
				onCall({table: stateTable, operation: 'read'});
				return table.scan(prefix, options);
			},
			async transact(transaction) {
				onCall({table: stateTable, operation: 'transact'});
				return table.transact(transaction);
			},
		},
	};
};
