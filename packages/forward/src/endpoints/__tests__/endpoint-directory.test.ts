import {brandAs, type EndpointId} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {answer, createDirectory, createRow} from './directory-fixture.js';

describe('the endpoint directory', () => {
	it('follows endpoints that register, leave and disappear', () => {
		const {directory, changes, pool} = createDirectory();
		directory.apply(answer(createRow('e')), true);
		directory.apply(answer(createRow('e', {isLeaving: true, heartbeat: 2})), false);
		assert.ok(pool.get('e')?.endpoint.isLeaving);
		directory.apply(answer({key: 'e', value: undefined, version: 3}), false);
		assert.equal(changes, ['e: absent -> ready', 'e: ready -> leaving', 'e: leaving -> absent']);
	});

	it('ignores a delayed heartbeat; guards against work for an endpoint that has announced that it leaves', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {isLeaving: true, heartbeat: 5})), true);
		directory.apply(answer(createRow('e', {heartbeat: 4})), false);
		assert.ok(pool.get('e')?.endpoint.isLeaving);
	});

	it('treats a restart under the same id as a new process', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {isLeaving: true, heartbeat: 5})), true);
		directory.apply(answer(createRow('e', {startedAt: 2, heartbeat: 1})), false);
		assert.is(pool.get('e')?.endpoint.isLeaving, false);
	});

	it('removes endpoints whose registration is damaged', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e'), {key: 'f', value: 'damaged', version: 1}), true);
		directory.apply(answer({key: 'e', value: 'damaged', version: 2}), false);
		assert.is(pool.get('e'), undefined);
		assert.is(pool.get('f'), undefined);
	});

	// The exception left the others of the answer unread, in each snapshot again.
	it('applies the other rows of an answer in which one cannot be applied; guards against a fleet without endpoints because of one row', () => {
		const {directory, isUsed, failedRows} = createDirectory();
		directory.apply(answer(createRow('d'), createRow('e', {address: ''}), createRow('f')), true);
		assert.ok(isUsed('d') && isUsed('f'));
		assert.equal(failedRows, ['e']);
	});

	it('removes endpoints that are missing from a snapshot', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e'), createRow('f')), true);
		directory.apply(answer(createRow('f')), true);
		assert.is(pool.get('e'), undefined);
		assert.ok(pool.get('f'));
	});

	// A registration with the newest known heartbeat was applied again, whatever had happened since.
	it('does not bring back a removed endpoint by its last registration; guards against work for an endpoint that has left', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		directory.apply(answer({key: 'e', value: undefined, version: 3}), false);
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		assert.is(pool.get('e'), undefined);
	});

	it('brings back a removed endpoint that registers again or starts again; guards against endpoints that stay unused', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {heartbeat: 5}), createRow('f', {heartbeat: 5})), true);
		directory.apply(answer(), true);
		directory.apply(answer(createRow('e', {heartbeat: 6}), createRow('f', {startedAt: 2, heartbeat: 1})), true);
		assert.ok(pool.get('e') && pool.get('f'));
	});

	// A registration with the newest known heartbeat was applied again, whatever had been announced since.
	it('keeps an endpoint leaving against its last registration; guards against work for an endpoint that has announced that it leaves', () => {
		const {directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {isLeaving: true, heartbeat: 5})), true);
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		assert.ok(pool.get('e')?.endpoint.isLeaving);
	});

	// Each id stayed in memory for ever, and ids are new after each replacement.
	it('forgets removed endpoints after two minutes; guards against memory that grows with each replacement', () => {
		const {clock, directory, pool} = createDirectory();
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		directory.apply(answer(), true);
		clock.advance(119_000);
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		assert.is(pool.get('e'), undefined);
		clock.advance(2000);
		directory.apply(answer(), true);
		directory.apply(answer(createRow('e', {heartbeat: 4})), true);
		assert.ok(pool.get('e'));
	});

	describe('when a process has said in an answer that it leaves', () => {
		const process = {id: brandAs<EndpointId>('e'), startedAt: 1};

		it('marks its endpoint at once and tells the source; guards against work for a leaving endpoint until its registration is read', () => {
			const {directory, pool, changes} = createDirectory();
			directory.apply(answer(createRow('e'), createRow('f')), true);
			directory.recordLeaving(process, 'answer');
			directory.recordLeaving(process, 'peer');
			directory.recordLeaving({...process, id: brandAs<EndpointId>('f')}, 'peer');
			assert.ok(pool.get('e')?.endpoint.isLeaving && pool.get('f')?.endpoint.isLeaving);
			assert.equal(changes.slice(2), ['e: ready -> leaving (answer)', 'f: ready -> leaving (peer)']);
		});

		// A process may go on to write heartbeats that say ready, and the store may return from a copy.
		it('keeps it leaving whatever its registration says; guards against work for an endpoint that has announced that it leaves', () => {
			const {directory, pool, clock} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			directory.recordLeaving(process, 'answer');
			directory.apply(answer(createRow('e', {heartbeat: 6})), false);
			assert.ok(pool.get('e')?.endpoint.isLeaving);
			directory.recordStoreReturn();
			directory.apply(answer(createRow('e', {heartbeat: 4})), true);
			assert.ok(pool.get('e')?.endpoint.isLeaving);
			clock.advance(119_000);
			directory.apply(answer(createRow('e', {heartbeat: 90})), true);
			clock.advance(119_000);
			directory.apply(answer(createRow('e', {heartbeat: 91})), true);
			directory.apply(answer(), true);
			directory.apply(answer(createRow('e', {heartbeat: 92})), true);
			assert.ok(pool.get('e')?.endpoint.isLeaving);
		});

		it('binds a process that registers only afterwards; guards against work for an endpoint whose first registration comes late', () => {
			const {directory, pool} = createDirectory();
			directory.recordLeaving({...process, startedAt: 2}, 'peer');
			directory.apply(answer(createRow('e', {startedAt: 1, heartbeat: 9})), true);
			assert.ok(pool.get('e')?.endpoint.isLeaving);
			directory.apply(answer(createRow('e', {startedAt: 2, heartbeat: 1})), false);
			assert.ok(pool.get('e')?.endpoint.isLeaving);
		});

		it('uses a later start under the same id; guards against endpoints that stay unused', () => {
			const {directory, pool} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			directory.recordLeaving(process, 'answer');
			directory.apply(answer(createRow('e', {startedAt: 2})), false);
			assert.is(pool.get('e')?.endpoint.isLeaving, false);
			directory.recordLeaving(process, 'peer');
			assert.is(pool.get('e')?.endpoint.isLeaving, false);
			directory.apply(answer(createRow('e', {startedAt: 2, heartbeat: 2})), false);
			assert.is(pool.get('e')?.endpoint.isLeaving, false);
		});

		it('forgets it two minutes after its registration is gone; guards against memory that grows with each replacement', () => {
			const {directory, pool, clock} = createDirectory();
			directory.apply(answer(createRow('e')), true);
			directory.recordLeaving(process, 'answer');
			directory.apply(answer(), true);
			clock.advance(121_000);
			directory.apply(answer(), true);
			directory.apply(answer(createRow('e')), true);
			assert.is(pool.get('e')?.endpoint.isLeaving, false);
		});
	});
});
