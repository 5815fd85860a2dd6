/**
 * The configuration of a test fleet: client accounts with a key each, one model and one plain service.
 */
import {hashKey} from '@hawthorncleat/core';
import type {Change} from '@hawthorncleat/schema';

/** The region of all data centres of a fleet. */
export const fleetRegion = 'test-region';

/** Names of the services. */
export const fleetServices = {model: 'restock', plain: 'order-desk'} as const;

/** The client accounts; each has the key `keyOf(account)` under the name `<account>-key`. */
export const fleetAccounts = ['planning', 'warehouse', 'night-shift'] as const;

/** An account of the fleet. */
export type FleetAccount = typeof fleetAccounts[number];

/** Header that carries the caller's request id through the entry and the agent to a plain service. */
export const requestIdHeader = 'x-caller-request';

/** The key of an account. */
export const keyOf = (account: string): string => `hck_history_test_${account}`;

/** Name of the key of an account. */
export const keyNameOf = (account: string): string => `${account}-key`;

/** The change that a new fleet is configured with. */
export const createFleetConfig = (dataCentres: readonly string[]): Change => {
	const [first, ...others] = dataCentres;
	const places: [string, ...string[]] = [first!, ...others];
	return {
		put: [
			...dataCentres.map(name => ({kind: 'place' as const, name, region: fleetRegion})),
			...fleetAccounts.flatMap(name => [
				{kind: 'client-account' as const, name},
				{
					kind: 'key' as const, name: keyNameOf(name), account: name, hash: hashKey(keyOf(name)), state: 'active' as const,
				},
			]),
			{
				kind: 'model-version', name: 'restock-v1', model: 'restock', version: '1',
			},
			{
				kind: 'service', name: fleetServices.model, modelVersion: 'restock-v1', places,
			},
			{kind: 'service', name: fleetServices.plain, places},
			{kind: 'route', name: 'restock', service: fleetServices.model},
			{
				kind: 'route', name: 'stock', service: fleetServices.plain, path: '/stock', methods: ['GET'], headers: [requestIdHeader],
			},
			{
				kind: 'route', name: 'orders', service: fleetServices.plain, path: '/orders', methods: ['POST'], action: true, headers: [requestIdHeader],
			},
		],
	};
};
