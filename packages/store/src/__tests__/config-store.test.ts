import {createConfigView, emptySnapshot, type AdvancingView} from '@hawthorncleat/core';
import type {Transaction} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {createConfigStore, type ConfigStore} from '../config-store.js';
import {createStoreError, type ObjectStore, type Table} from '../store.js';

type Fault = 'none' | 'lost-answer' | 'lost-write';

const createFakes = () => {
	const rows = new Map<string, {key: string; version: number; value: unknown}>();
	const storedObjects = new Map<string, unknown>();
	const faults: Fault[] = [];
	let idCount = 0;
	const apply = ({checks, puts}: Transaction): string[] => {
		const failed = checks.filter(({key, version}) => (rows.get(key)?.version ?? null) !== version);
		for (const {key, value} of failed.length > 0 ? [] : puts) {
			rows.set(key, {key, value: structuredClone(value), version: (rows.get(key)?.version ?? 0) + 1});
		}

		return failed.map(({key}) => key);
	};

	const table: Table = {
		read: async key => rows.get(key),
		scan: async () => [],
		async transact(transaction) {
			const fault = faults.shift() ?? 'none';
			const failed = fault === 'lost-write' ? [] : apply(transaction);
			if (fault !== 'none') {
				throw createStoreError('no response', 'unknown');
			}

			return failed.length > 0 ? {ok: false, failed} : {ok: true, versions: {}};
		},
	};
	const objects: ObjectStore = {
		read: async key => storedObjects.get(key),
		async write(key, value) {
			storedObjects.set(key, structuredClone(value));
		},
		list: async () => [...storedObjects.keys()],
	};
	const makeId = (): string => {
		idCount += 1;
		return `id-${idCount}`;
	};

	return {
		store: createConfigStore({table, objects, makeId}), faults, stored: storedObjects, table,
	};
};

const emptyView = createConfigView(emptySnapshot);

const putAccount = (name: string, weight = 1) => ({put: [{kind: 'client-account', name, weight}]});

const publish = async (store: ConfigStore, base: AdvancingView, change: unknown): Promise<AdvancingView> => {
	const result = await store.publish({base, change});
	assert.is(result.kind, 'published');
	return result.kind === 'published' ? result.view : base;
};

const publishMany = async (store: ConfigStore, count: number): Promise<AdvancingView> => {
	let view = emptyView;
	for (let index = 1; index <= count; index += 1) {
		view = await publish(store, view, putAccount(`a${index % 7}`, index));
	}

	return view;
};

const namesIn = ({snapshot}: AdvancingView): string[] => snapshot.objects.map(({name}) => name);

describe('configuration store', () => {
	it('rebases a change of other objects; guards against losing the change of a racing operator', async () => {
		const {store} = createFakes();
		await publish(store, emptyView, putAccount('a'));
		const second = await publish(store, emptyView, putAccount('b'));
		assert.is(second.version, 2);
		assert.equal(namesIn(second), ['a', 'b']);
	});

	it('reports overlapping objects; guards against silently overwriting a racing operator', async () => {
		const {store} = createFakes();
		await publish(store, emptyView, putAccount('a'));
		const late = await store.publish({base: emptyView, change: putAccount('a', 5)});
		assert.equal(late, {kind: 'conflict', conflicts: [{kind: 'client-account', name: 'a'}], version: 1});
	});

	it('compares with the base version of the change; guards against a stale file applied through a fresh entry', async () => {
		const {store} = createFakes();
		const first = await publish(store, emptyView, putAccount('a'));
		const second = await publish(store, first, putAccount('a', 2));
		const stale = await store.publish({base: second, change: {baseVersion: 1, ...putAccount('a', 3)}});
		assert.is(stale.kind, 'conflict');
	});

	it('validates the rebased change as a whole; guards against a key of an account that was just deleted', async () => {
		const {store} = createFakes();
		const first = await publish(store, emptyView, putAccount('a'));
		await publish(store, first, {delete: [{kind: 'client-account', name: 'a'}]});
		const key = {
			kind: 'key', name: 'k', account: 'a', hash: '0'.repeat(64), state: 'active',
		};
		const result = await store.publish({base: first, change: {put: [key]}});
		assert.is(result.kind, 'findings');
	});

	it('returns findings for a value that is not a change', async () => {
		const {store} = createFakes();
		const result = await store.publish({base: emptyView, change: {put: 4}});
		assert.is(result.kind, 'findings');
	});

	it('recognises its write after a lost response; guards against a false conflict with itself', async () => {
		for (const sequence of [['lost-answer'], ['lost-write'], ['lost-write', 'lost-answer']] as Fault[][]) {
			const {store, faults} = createFakes();
			faults.push(...sequence);
			const snapshot = await publish(store, emptyView, putAccount('a'));
			assert.is(snapshot.version, 1);
		}
	});

	it('reports an unknown outcome when the table does not respond; guards against a false "not published"', async () => {
		const {store, faults} = createFakes();
		faults.push('lost-write', 'lost-write', 'lost-write');
		const outcomes: string[] = [];
		const reportOutcome = async (outcome: string): Promise<boolean> => {
			outcomes.push(outcome);
			return true;
		};

		const request = store.publish({base: emptyView, change: putAccount('a'), reportOutcome});
		const error = await request.catch((error: unknown) => error as {outcome: string});
		assert.is('outcome' in error && error.outcome, 'unknown');
		assert.equal(outcomes, ['unknown']);
	});

	it('recognises its write when later versions follow it; guards against publishing a change twice', async () => {
		const {store, faults, table} = createFakes();
		const transact = table.transact.bind(table);
		let others = 0;
		table.transact = async transaction => {
			try {
				return await transact(transaction);
			} catch (error) {
				others += 1;
				await publish(store, emptyView, putAccount('other'));
				throw error;
			}
		};

		faults.push('lost-answer');
		const snapshot = await publish(store, emptyView, putAccount('a'));
		assert.is(snapshot.version, 1);
		assert.is(others, 1);
		const {head} = await store.readHead();
		assert.is(head.version, 2);
	});

	it('announces before the write and writes nothing if the announcement fails; guards against a withdrawal that no witness has recorded', async () => {
		const {store} = createFakes();
		const outcomes: string[] = [];
		const request = store.publish({
			base: emptyView,
			change: putAccount('a'),
			async announce() {
				throw new Error('witnesses-unavailable');
			},
			async reportOutcome(outcome) {
				outcomes.push(outcome);
				return true;
			},
		});
		assert.is(await request.catch((error: unknown) => (error as Error).message), 'witnesses-unavailable');
		const {head} = await store.readHead();
		assert.is(head.version, 0);
		assert.equal(outcomes, ['abandoned']);
	});

	it('reports a published change as not confirmed if the report to the witnesses fails', async () => {
		const {store} = createFakes();
		const result = await store.publish({
			base: emptyView,
			change: putAccount('a'),
			async reportOutcome() {
				throw new Error('cut');
			},
		});
		assert.is(result.kind === 'published' && result.confirmed, false);
	});

	it('fetches the updates from any version to the head across snapshots; guards against readers that cannot catch up', async () => {
		const {store, stored} = createFakes();
		const newest = await publishMany(store, 230);
		const {head} = await store.readHead();
		assert.is(head.snapshotVersion, 200);
		assert.is(head.deltaKeys.length, 50);
		assert.is([...stored.keys()].filter(key => key.startsWith('config/snapshot/')).length, 2);
		for (const version of [0, 120, 179, 180, 199, 229, 230]) {
			const fetched = await store.fetchSince(version);
			const last = fetched.deltas?.at(-1)?.version ?? fetched.snapshot?.version ?? version;
			assert.is(last, newest.version);
			assert.is(fetched.snapshot === undefined, version >= 180);
		}

		const old = await store.publish({base: newest, change: {baseVersion: 3, ...putAccount('z')}});
		assert.is(old.kind, 'conflict');
		const lagging = await publish(store, emptyView, putAccount('z'));
		assert.is(lagging.version, 231);
		const overlapping = await store.publish({base: emptyView, change: putAccount('a1')});
		assert.is(overlapping.kind, 'conflict');
	});

	it('loses no change of any operator; guards against a lost update with racing writers and lost responses', async () => {
		const fault = fc.constantFrom<Fault>('none', 'lost-answer', 'lost-write');
		await fc.assert(fc.asyncProperty(fc.array(fault, {maxLength: 8}), fc.integer({min: 1, max: 6}), async (sequence, writers) => {
			const {store, faults} = createFakes();
			faults.push(...sequence);
			const names = Array.from({length: writers}, (_, index) => `w${index}`);
			const results = await Promise.allSettled(names.map(async name => store.publish({base: emptyView, change: putAccount(name)})));
			const {deltas = []} = await store.fetchSince(0);
			const activeNames = deltas.flatMap(({change}) => change.put?.map(({name}) => name) ?? []);
			for (const [index, result] of results.entries()) {
				const times = activeNames.filter(name => name === names[index]).length;
				assert.ok(result.status === 'fulfilled' ? times === 1 : times <= 1);
			}
		}), {seed: 41, numRuns: 60});
	});
});
