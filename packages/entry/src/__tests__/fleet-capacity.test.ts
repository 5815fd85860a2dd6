import type {HostRecord} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {Endpoint} from '../endpoint.js';
import {rolesBeyondPlan} from '../fleet-capacity.js';

const createEndpoint = (dataCentre: string, role: string): Endpoint => ({
	host: {dataCentre, serves: 'planner'}, isLeaving: false, peer: {}, report: {role},
}) as unknown as Endpoint;

const listHosts = (dataCentre: string, count: number): HostRecord[] => Array.from({length: count}, (_, index) => ({
	hostId: `${dataCentre}-${index}`, dataCentre, kind: 'endpoint', address: '', port: 1, serves: 'planner', state: 'live',
}));

describe('engines beyond a plan', () => {
	it('stand for those that the entry is not connected to; guards against plans for a part of the fleet with the demand of all', () => {
		const endpoints = [
			...Array.from({length: 24}, () => createEndpoint('dc-1', 'prefill')),
			...Array.from({length: 8}, () => createEndpoint('dc-1', 'decode')),
			createEndpoint('dc-2', 'mixed'),
			createEndpoint('dc-2', 'mixed'),
			createEndpoint('dc-2', 'mixed'),
			createEndpoint('dc-2', 'decode'),
			{...createEndpoint('dc-3', 'decode'), peer: undefined} as unknown as Endpoint,
		];
		const hosts = [...listHosts('dc-1', 64), ...listHosts('dc-2', 40), ...listHosts('dc-3', 1)];
		// Of 64 local engines 32 are not connected, and each of the four of the other data centre stands for ten.
		assert.equal(rolesBeyondPlan({
			service: 'planner', dataCentre: 'dc-1', endpoints, hosts,
		}), {mixed: 30, prefill: 24, decode: 18});
	});
});
