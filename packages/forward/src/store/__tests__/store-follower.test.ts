import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	brandAs, type EndpointId, type RegisteredEndpoint, type StoreGeneration,
} from '@hawthorncleat/core';
import {
	createManualClock, describe, it, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {ActiveConfig} from '../active-config.js';
import {CorrectedClock} from '../corrected-clock.js';
import {DecisionLog} from '../../telemetry/decision-log.js';
import {EndpointDirectory} from '../../endpoints/endpoint-directory.js';
import {EndpointPool} from '../../endpoints/endpoint-pool.js';
import {Membership} from '../../peers/membership.js';
import {ForwardMetrics} from '../../telemetry/metrics.js';
import type {RowStore, StoreRow, StoreTable} from '../../ports.js';
import {
	changeWaitMs, StoreFollower, transferPauseMs,
} from '../store-follower.js';
import {endpointBatchMs} from '../poll-intervals.js';

type FakeStore = {generation: number; readonly rows: Map<StoreTable, StoreRow[]>};
type Line = {readonly event: string; readonly dependency?: string; readonly generation?: number};
type Fixture = {
	readonly store: FakeStore;
	readonly pool: EndpointPool;
	readonly directory: EndpointDirectory;
	readonly clock: ReturnType<typeof createManualClock>;
	readonly lines: Line[];
	/** Number of calls of `onStoreReturn`. */
	readonly returns: () => number;
	/** Waits until each table has been read again. */
	readAgain(): Promise<void>;
};

/** Every watch call leads to a new snapshot, as it does in an adapter that sees a return. */
const createRows = (store: FakeStore, onRead: (table: StoreTable) => void): RowStore => ({
	async read(table) {
		onRead(table);
		return {
			rows: store.rows.get(table) ?? [], version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: brandAs<StoreGeneration>(store.generation),
		};
	},
	watch: async () => undefined,
	write: async () => undefined,
});

/** Runs a test with a follower of a store whose generation and rows the test sets. */
const withFollower = async (body: (fixture: Fixture) => Promise<void>): Promise<void> => {
	const clock = createManualClock(100_000);
	const lines: Line[] = [];
	const log = new DecisionLog(clock, {
		write(line) {
			lines.push(JSON.parse(line) as Line);
		},
		pendingBytes: () => 0,
	}, 'e1');
	const members = new Membership(clock, 'e1', () => undefined);
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => undefined});
	const directory = new EndpointDirectory({
		clock, pool, heartbeatMs: 1200, readEndpoint: (id: EndpointId, text: string) => ({...JSON.parse(text) as RegisteredEndpoint, id}), onChange: () => undefined, onRowError: () => undefined,
	});
	const store: FakeStore = {generation: 2, rows: new Map()};
	/** The endpoints are read least often. */
	let endpointReads = 0;
	let returns = 0;
	const follower = new StoreFollower({
		clock,
		random: () => 0.5,
		rows: createRows(store, table => {
			endpointReads += table === 'endpoints' ? 1 : 0;
		}),
		config: new ActiveConfig({
			clock, random: () => 0, readConfig: () => undefined, members, isStoreAvailable: () => true, storeDeliveryMs: 1000, log, metrics: new ForwardMetrics(),
		}),
		directory,
		members,
		correctedClock: new CorrectedClock(clock, () => []),
		silenceLimitMs: 3000,
		pollBounds: {drainMs: 2000, heartbeatMs: 1200},
		log,
		metrics: new ForwardMetrics(),
		supervise: async (_name, task, signal) => task(signal),
		onStoreReturn() {
			returns += 1;
			directory.recordStoreReturn();
		},
	});
	const controller = new AbortController();
	const following = follower.run(controller.signal);
	try {
		await body({
			store, pool, directory, clock, lines, returns: () => returns,
			async readAgain() {
				const before = endpointReads;
				await waitUntil(() => endpointReads > before);
				await nextTurn();
			},
		});
	} finally {
		controller.abort();
		await following;
	}
};

const registration: StoreRow = {
	key: 'i-1',
	version: 1,
	value: JSON.stringify({
		service: 's', address: '127.0.0.1', port: 1, dataCentre: 'd', slots: 1, isLeaving: false, startedAt: 1, heartbeat: 1,
	}),
};

describe('following the store', () => {
	it('writes one line when the store has returned from a copy; guards against a drill that the log does not show', async () => withFollower(async ({store, lines, returns, readAgain}) => {
		await readAgain();
		assert.is(returns(), 0);
		store.generation = 3;
		await readAgain();
		assert.is(returns(), 1);
		assert.equal(lines.filter(({event}) => event === 'dependency').map(({dependency, generation}) => ({dependency, generation})), [{dependency: 'store', generation: 3}]);
	}));

	// Endpoints without a row were removed at once, unless a call had failed.
	it('keeps endpoints whose registration is lost for two seconds; guards against a fleet without endpoints', async () => withFollower(async ({store, pool, directory, clock, readAgain}) => {
		store.rows.set('endpoints', [registration]);
		await readAgain();
		store.generation = 3;
		store.rows.set('endpoints', []);
		await readAgain();
		assert.ok(pool.get('i-1'));
		clock.advance(2100);
		directory.removeExpired();
		assert.is(pool.get('i-1'), undefined);
	}));
});

describe('the wait of a call for changes', () => {
	/** Time for an answer, for the pause after a failed call, and for a snapshot on a new connection. */
	const afterWaitMs = 900 + 100 + 100;

	it('leaves time to notice a silent connection and to read again within the limit, for every number of entries; guards against changes applied too late', () => {
		for (const limitMs of [3000, 3600, 5000]) {
			for (const entries of [1, 4, 24, 68, 2300]) {
				const pauseMs = endpointBatchMs(entries);
				assert.ok(pauseMs + changeWaitMs(limitMs, pauseMs) + afterWaitMs < limitMs, `${entries} entries within ${limitMs} ms`);
			}
		}
	});

	it('is not too short for a very short limit; guards against calls all the time', () => {
		assert.is(changeWaitMs(100, 400), 500);
	});
});

describe('batches of changes of endpoints', () => {
	it('grow with the number of entries, but stay below the time in which a leaving endpoint may get work; guards against calls to the store that grow with every entry', () => {
		const callsPerSecond = (entries: number): number => entries * 1000 / endpointBatchMs(entries);
		assert.is(endpointBatchMs(4), 400);
		assert.ok(callsPerSecond(68) <= 68);
		assert.ok(endpointBatchMs(2300) <= 1000);
	});
});

describe('the pause after a transfer', () => {
	it('is as long as the transfer, up to a limit; guards against configurations in quick succession that fill a narrow link, and against ones in force too late', () => {
		assert.is(transferPauseMs(5), 5);
		assert.is(transferPauseMs(400), 400);
		assert.is(transferPauseMs(8000), 500);
	});
});
