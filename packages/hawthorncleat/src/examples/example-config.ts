/**
 * The example configuration of `hawthorncleat dev`: two accounts, a model on two engines and an order desk.
 */
import type {Change} from '@hawthorncleat/schema';

/** The data centre and region that `dev` pretends to be. */
export const examplePlace = {dataCentre: 'bergen-1', region: 'west-norway'} as const;

/** Names of the services that the stand-ins of `dev` serve. */
export const exampleServices = {model: 'restock', plain: 'order-desk'} as const;

/** Builds the example with the hash of the key that `dev` prints. */
export const createExampleConfig = (hash: string): Change => ({
	put: [
		{
			kind: 'place', name: examplePlace.dataCentre, names: {dotted: 'no.bergen.one', code: 'NO-BGO-1'}, region: examplePlace.region,
		},
		{kind: 'client-account', name: 'planning', weight: 2},
		{kind: 'client-account', name: 'warehouse'},
		{
			kind: 'key', name: 'planning-dev', account: 'planning', hash, state: 'active',
		},
		{
			kind: 'model-version', name: 'restock-v1', names: {dotted: 'models.restock.v1'}, model: 'restock', version: '1',
		},
		{
			kind: 'service', name: exampleServices.model, names: {code: 'SVC-RESTOCK'}, modelVersion: 'models.restock.v1', places: ['NO-BGO-1'],
		},
		{kind: 'service', name: exampleServices.plain, places: ['no.bergen.one']},
		{kind: 'route', name: 'restock-plan', service: 'SVC-RESTOCK'},
		{
			kind: 'route', name: 'stock', service: exampleServices.plain, path: '/stock', methods: ['GET'], access: 'open',
		},
		{
			kind: 'route', name: 'orders', service: exampleServices.plain, path: '/orders', methods: ['POST'], action: true, accounts: ['planning'],
		},
	],
});
