/** What the directory makes of registrations that are missing after a time without answers of the store. */
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	answer, createDirectory, createRow, heartbeatMs, type DirectoryFixture,
} from './directory-fixture.js';

describe('the endpoint directory', () => {
	describe('after calls that failed', () => {
		/** Applies a heartbeat, lets calls fail, and then applies a snapshot without the endpoint. */
		const loseRegistration = (outageMs: number): DirectoryFixture => {
			const fixture = createDirectory();
			const {clock, directory} = fixture;
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			directory.setStoreAvailable(false);
			clock.advance(outageMs);
			directory.setStoreAvailable(true);
			directory.apply(answer(), true);
			return fixture;
		};

		// After any failed call, an endpoint without a registration was used for two more seconds.
		for (const outageMs of [200, 600, 1200, 3500]) {
			it(`for ${outageMs} ms removes a missing endpoint at once; guards against work for an endpoint whose registration cannot have expired yet`, () => {
				const {pool, changes} = loseRegistration(outageMs);
				assert.is(pool.get('e'), undefined);
				assert.is(changes.at(-1), 'e: ready -> absent');
			});
		}

		it('for three heartbeat intervals keeps a missing endpoint until two seconds after the return, and logs it once; guards against removing live endpoints whose registration expired', () => {
			const {pool, directory, clock, changes} = loseRegistration(3 * heartbeatMs);
			clock.advance(1900);
			directory.apply(answer(), true);
			assert.ok(pool.get('e'));
			assert.equal(changes.slice(1), ['e: ready -> unregistered']);
			clock.advance(100);
			directory.removeExpired();
			assert.is(pool.get('e'), undefined);
		});

		it('reports the time without an answer when it keeps or removes an endpoint; guards against a log that does not tell why', () => {
			const outages = (outageMs: number): unknown[] => loseRegistration(outageMs).reports.slice(1).map(({is, outageMs: reportedMs}) => [is, reportedMs]);
			assert.equal(outages(600), [['absent', undefined]]);
			assert.equal(outages(3000), [['absent', 3000]]);
			assert.equal(outages(4000), [['unregistered', 4000]]);
		});

		// A store shows no heartbeats that change nothing else, so the last one that was read is old at each live endpoint.
		it('removes a missing endpoint at once whatever the age of its heartbeat; guards against work for an endpoint that left while a connection was silent', () => {
			const {clock, directory, isUsed} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			for (let second = 0; second < 20; second += 1) {
				clock.advance(1000);
				directory.setStoreAvailable(true);
			}

			directory.setStoreAvailable(false);
			clock.advance(2700);
			directory.setStoreAvailable(true);
			directory.apply(answer(), true);
			assert.is(isUsed('e'), false);
		});

		it('removes a missing endpoint at once if the store has answered other calls; guards against one silent connection that is taken for an outage', () => {
			const {clock, directory, isUsed} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			directory.setStoreAvailable(false);
			for (let second = 0; second < 6; second += 1) {
				clock.advance(1000);
				directory.recordStoreAnswer();
			}

			directory.setStoreAvailable(true);
			directory.apply(answer(), true);
			assert.is(isUsed('e'), false);
		});

		it('keeps a missing endpoint if the store was back for a moment only; guards against removing live endpoints that could not register in between', () => {
			const {clock, directory, isUsed} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			for (const outageMs of [5000, 2500]) {
				directory.setStoreAvailable(false);
				clock.advance(outageMs);
				directory.setStoreAvailable(true);
				directory.apply(answer(), true);
			}

			clock.advance(1900);
			directory.removeExpired();
			assert.ok(isUsed('e'));
		});
	});

	// An outage of the store costs most registrations, a cut of this entry none. After either, every missing endpoint was used for two more seconds.
	describe('after this entry was cut off for longer than registrations last', () => {
		const ids = ['d', 'e', 'f', 'g', 'h'];

		const returnFromCut = (): DirectoryFixture => {
			const fixture = createDirectory();
			const {clock, directory} = fixture;
			directory.apply(answer(...ids.map(id => createRow(id))), true);
			directory.setStoreAvailable(false);
			clock.advance(5600);
			directory.setStoreAvailable(true);
			return fixture;
		};

		it('removes an endpoint at once that has left meanwhile; guards against work for it while the others show that no registration has expired', () => {
			const {directory, isUsed} = returnFromCut();
			directory.apply(answer({key: 'e', value: undefined, version: 2}), false);
			assert.equal(ids.filter(id => isUsed(id)), ['d', 'f', 'g', 'h']);
		});

		// A release replaces each endpoint by one with another id, so most are missing after it as they are after an outage.
		it('removes most endpoints at once that others have replaced; guards against work for endpoints that left in a release behind the cut', () => {
			const {directory, isUsed} = returnFromCut();
			const replaced = ['e', 'f', 'g', 'h'].flatMap(id => [createRow(`new-${id}`), {key: id, value: undefined, version: 2}]);
			directory.apply(answer(...replaced), false);
			assert.equal(ids.filter(id => isUsed(id)), ['d']);
		});

		it('removes endpoints at once that others have replaced in an earlier answer; guards against work for them if each batch of changes is looked at alone', () => {
			const {directory, isUsed} = returnFromCut();
			directory.apply(answer(...['e', 'f', 'g', 'h'].map(id => createRow(`new-${id}`))), false);
			directory.apply(answer(...['e', 'f', 'g', 'h'].map(id => ({key: id, value: undefined, version: 2}))), false);
			assert.equal(ids.filter(id => isUsed(id)), ['d']);
		});

		it('keeps the endpoints if most have expired and one is new; guards against removing live ones beside a start', () => {
			const {directory, isUsed} = returnFromCut();
			directory.apply(answer(createRow('new-e')), true);
			assert.equal(ids.filter(id => isUsed(id)), ids);
		});

		it('removes an endpoint at once that is missing from a snapshot; guards against work for it after the history is gone', () => {
			const {directory, isUsed} = returnFromCut();
			directory.apply(answer(...['d', 'f', 'g', 'h'].map(id => createRow(id))), true);
			assert.equal(ids.filter(id => isUsed(id)), ['d', 'f', 'g', 'h']);
		});

		it('removes an endpoint at once that leaves soon afterwards; guards against work for it while a return still counts as recent', () => {
			const {directory, clock, isUsed} = returnFromCut();
			directory.apply(answer(), false);
			clock.advance(500);
			directory.apply(answer({key: 'e', value: undefined, version: 2}), false);
			assert.is(isUsed('e'), false);
		});

		it('keeps them if most are missing, however many come in one answer; guards against a fleet without endpoints after an outage of the store', () => {
			const {directory, isUsed} = returnFromCut();
			directory.apply(answer(...['d', 'e', 'f', 'g'].map(key => ({key, value: undefined, version: 2}))), false);
			assert.equal(ids.filter(id => isUsed(id)), ids);
		});

		it('keeps them if most are missing from a snapshot, and removes what has not registered again after two seconds', () => {
			const {directory, clock, isUsed} = returnFromCut();
			directory.apply(answer(createRow('d')), true);
			assert.equal(ids.filter(id => isUsed(id)), ids);
			directory.apply(answer(createRow('e', {heartbeat: 9})), false);
			clock.advance(2100);
			directory.removeExpired();
			assert.equal(ids.filter(id => isUsed(id)), ['d', 'e']);
		});

		it('keeps them for two seconds after each of two outages in a row; guards against live endpoints that are removed because the second one took their time', () => {
			const {directory, clock, isUsed} = returnFromCut();
			directory.apply(answer(...ids.map(key => ({key, value: undefined, version: 2}))), false);
			clock.advance(500);
			directory.setStoreAvailable(false);
			clock.advance(4000);
			directory.setStoreAvailable(true);
			directory.apply(answer(), false);
			clock.advance(1900);
			directory.removeExpired();
			assert.equal(ids.filter(id => isUsed(id)), ids);
			clock.advance(200);
			directory.removeExpired();
			assert.equal(ids.filter(id => isUsed(id)), []);
		});
	});

	describe('after an outage of the store', () => {
		it('removes at once an endpoint that registered again and then left; guards against work for a leaving endpoint after only this entry was cut off from the store', () => {
			const {clock, directory, pool} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 1})), true);
			directory.setStoreAvailable(false);
			clock.advance(6000);
			directory.setStoreAvailable(true);
			directory.apply(answer(createRow('e', {heartbeat: 6})), true);
			clock.advance(200);
			directory.apply(answer({key: 'e', value: undefined, version: 3}), false);
			assert.is(pool.get('e'), undefined);
		});

		// After a return from a copy every missing registration may have been lost, but not one that has been renewed since then.
		it('removes at once an endpoint that registered again after a return from a copy and then left; guards against work for an endpoint that has left', () => {
			const {directory, isUsed} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 5})), true);
			directory.recordStoreReturn();
			directory.apply(answer(createRow('e', {heartbeat: 6})), true);
			directory.apply(answer({key: 'e', value: undefined, version: 2}), false);
			assert.is(isUsed('e'), false);
		});

		it('keeps an endpoint whose registration was still the one before the outage and then expired; guards against live endpoints that are removed because their registration expired late', () => {
			const {clock, directory, pool} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 1})), true);
			directory.setStoreAvailable(false);
			clock.advance(6000);
			directory.setStoreAvailable(true);
			directory.apply(answer(createRow('e', {heartbeat: 1})), true);
			clock.advance(200);
			directory.apply(answer({key: 'e', value: undefined, version: 3}), false);
			assert.ok(pool.get('e'));
		});

		// A registration of an earlier start was ignored as if the later one were still there.
		it('removes an endpoint in whose place an earlier start is registered; guards against work for an endpoint that has left before the store returned from a copy', () => {
			const {clock, directory, pool} = createDirectory();
			directory.apply(answer(createRow('e', {startedAt: 2}), createRow('f', {startedAt: 2})), true);
			directory.recordStoreReturn();
			directory.apply(answer(createRow('e', {heartbeat: 8}), createRow('f', {heartbeat: 8})), true);
			clock.advance(1000);
			directory.apply(answer(createRow('f', {startedAt: 2, heartbeat: 2})), false);
			clock.advance(1000);
			directory.removeExpired();
			assert.is(pool.get('e'), undefined);
			assert.ok(pool.get('f'));
		});

		// The same registration ended the wait for a new one, so the endpoint was used until that registration expired.
		it('removes an endpoint in time although its last registration is written once more; guards against work for an endpoint that has left before a late write', () => {
			const {clock, directory, pool} = createDirectory();
			directory.apply(answer(createRow('e', {heartbeat: 1})), true);
			directory.recordStoreReturn();
			directory.apply(answer(), true);
			clock.advance(500);
			directory.apply(answer(createRow('e', {heartbeat: 1})), false);
			assert.ok(pool.get('e'));
			clock.advance(1500);
			directory.removeExpired();
			assert.is(pool.get('e'), undefined);
		});

		it('keeps endpoints whose registration expired for two seconds, and then removes those that are still missing', () => {
			const {directory, pool, clock} = createDirectory();
			directory.apply(answer(createRow('back'), createRow('gone')), true);
			directory.setStoreAvailable(false);
			clock.advance(5000);
			directory.setStoreAvailable(true);
			directory.apply(answer(), true);
			assert.ok(pool.get('back') && pool.get('gone'));
			directory.apply(answer(createRow('back', {heartbeat: 9})), false);
			clock.advance(1900);
			directory.removeExpired();
			assert.ok(pool.get('gone'));
			clock.advance(200);
			directory.removeExpired();
			assert.is(pool.get('gone'), undefined);
			assert.ok(pool.get('back'));
		});
	});
});
