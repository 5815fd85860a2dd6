/**
 * A small valid configuration for the tests of this folder.
 */
import type {ConfigObject, Snapshot} from '@hawthorncleat/schema';
import {hashKey, sortObjects} from '../objects.js';

export const place = {
	kind: 'place', name: 'bergen-1', names: {dotted: 'no.bergen.one', path: '/no/bergen/1', code: 'NO-BGO-1'}, region: 'west',
} as const satisfies ConfigObject;

export const objects: ConfigObject[] = [
	place,
	{kind: 'client-account', name: 'order-desk'},
	{kind: 'client-account', name: 'planning', weight: 4},
	{
		kind: 'key', name: 'desk-1', account: 'order-desk', hash: hashKey('secret'), state: 'active',
	},
	{
		kind: 'model-version', name: 'restock-v2', names: {dotted: 'models.restock.v2'}, model: 'restock', version: '2',
	},
	{
		kind: 'service', name: 'restock', names: {code: 'SVC-RESTOCK'}, modelVersion: 'models.restock.v2', places: ['NO-BGO-1'],
	},
	{kind: 'service', name: 'desk', places: ['/no/bergen/1']},
	{kind: 'route', name: 'restock-plan', service: 'SVC-RESTOCK'},
	{
		kind: 'route', name: 'stock', service: 'desk', path: '/stock', methods: ['GET'], access: 'open',
	},
	{
		kind: 'route', name: 'orders', service: 'desk', path: '/stock/orders', methods: ['POST'], action: true, accounts: ['order-desk'],
	},
];

export const base: Snapshot = {version: 7, objects: sortObjects(objects)};
