import {
	brandAs, type EndpointId, type EndpointRole, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPool} from '../../endpoints/endpoint-pool.js';
import {RoleChanges} from '../role-changes.js';

const id = 'i-1';

const createEngine = (role: EndpointRole): RegisteredEndpoint => ({
	id: brandAs<EndpointId>(id),
	service: 'models',
	address: '127.0.0.1',
	port: 1,
	dataCentre: 'a',
	slots: 8,
	isLeaving: false,
	role,
	startedAt: 1,
	heartbeat: 1,
});

describe('an engine whose role changes', () => {
	const createFixture = () => {
		const clock = createManualClock(1000);
		const pool = new EndpointPool({clock, entries: () => 2, serviceOf: () => undefined});
		pool.put(createEngine('prefill'));
		return {clock, pool, changes: new RoleChanges(clock, pool)};
	};

	it('is not selected while its change is in progress', () => {
		const {clock, pool, changes} = createFixture();
		changes.record([{endpoint: id, role: 'decode'}]);
		assert.ok(pool.get(id)!.roleChangeUntilMs > clock.nowMs());
	});

	it('is selected again as soon as it has registered with its new role, even if an entry cut off from the store repeats the change; guards against the only decode engine unused for seconds', () => {
		const {clock, pool, changes} = createFixture();
		changes.record([{endpoint: id, role: 'decode'}]);
		pool.put(createEngine('decode'));
		changes.record([{endpoint: id, role: 'decode'}]);
		assert.ok(pool.get(id)!.roleChangeUntilMs <= clock.nowMs());
	});

	it('is selected again when the entry that ordered the change withdraws it; guards against an engine unused after it has rejected the order', () => {
		const {clock, pool, changes} = createFixture();
		changes.recordOwn([{endpoint: id, role: 'decode'}]);
		assert.is(pool.get(id)!.newRole, 'decode');
		changes.recordOwn([]);
		assert.ok(pool.get(id)!.roleChangeUntilMs <= clock.nowMs());
		assert.is(pool.get(id)!.newRole, undefined);
	});
});
