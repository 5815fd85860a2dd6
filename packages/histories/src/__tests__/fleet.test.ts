import process from 'node:process';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createCaller} from '../caller.js';
import {withFleet} from '../fleet.js';

describe('fleet', () => {
	it('serves every kind of request, restarts and replaces processes and ends them all; guards against checks of an idle fleet', async () => {
		const pids: number[] = [];
		await withFleet({
			seed: 1, entries: 2, engines: 1, services: 1,
		}, async (fleet, signal) => {
			const caller = createCaller(fleet, {name: 'caller', account: 'planning'}, signal);
			const answers = [
				await caller.sendAction('entry-1', 'order-1'),
				await caller.lookUp('entry-2'),
				await caller.complete('entry-1', 'count the pallets'),
			];
			assert.equal(answers.map(answer => answer.kind === 'answered' && answer.status), [200, 200, 200]);
			await caller.sendAction('entry-2', 'order-1');
			const orders = fleet.joinedHistory().filter(({source, event}) => source === 'service' && event.kind === 'order');
			assert.is(orders.length, 1);
			await fleet.restart('entry-1');
			await fleet.replace('agent-service-1');
			fleet.pause('entry-2');
			fleet.resume('entry-2');
			const {code} = await fleet.stop('entry-2');
			assert.is(code, 0);
			pids.push(...[...fleet.daemons.values()].map(({child}) => child.pid));
		});
		assert.is(pids.length, 4);
		for (const pid of pids) {
			assert.throws(() => process.kill(pid, 0), /ESRCH/);
		}
	});
});
