import {configSchema} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {checkChange} from '../check-change.js';
import {createConfigView, defaultWeight} from '../create-view.js';
import {createActiveConfig} from '../active-config.js';
import {hashKey, objectKey} from '../objects.js';
import {routeDefaults} from '../route-index.js';
import {base} from './fixture.js';

const view = createConfigView(base);

describe('config view', () => {
	it('has the default values of the schema; guards against defaults that differ between the schema and the code', () => {
		const {Route: route, ClientAccount: account} = configSchema.$defs;
		const {properties} = route;
		for (const [field, value] of Object.entries(routeDefaults)) {
			assert.is((properties[field as keyof typeof properties] as {default: unknown}).default, value);
		}

		assert.is(account.properties.weight.default, defaultWeight);
	});

	it('finds a key with its account and the default weight', () => {
		assert.is(view.findKey(hashKey('secret'))?.account.weight, 1);
		assert.is(view.findKey(hashKey('other')), undefined);
	});

	it('finds a model route by its names in all schemes; guards against requests that fail because they use an inherited name', () => {
		for (const name of ['restock-plan', 'restock', 'SVC-RESTOCK', 'restock-v2', 'models.restock.v2']) {
			assert.is(view.findModelRoute(name)?.route.name, 'restock-plan');
		}

		assert.is(view.findModelRoute('desk'), undefined);
	});

	it('finds the longest path at a segment boundary that allows the method', () => {
		const find = (method: string, path: string) => view.findServiceRoute(method, path)?.route.name;
		assert.is(find('GET', '/stock/4?x=/orders'), 'stock');
		assert.is(find('POST', '/stock/orders/9'), 'orders');
		assert.is(find('GET', '/stock/orders'), 'stock');
		assert.is(find('POST', '/stock'), undefined);
		assert.is(find('GET', '/stocks'), undefined);
	});

	it('finds no route for a path with dot segments; guards against orders that are sent through an open route', () => {
		for (const path of ['/stock/../orders', '/stock/%2e%2E/orders', '/stock/..%2forders', '/stock/..%5corders', '/stock/%']) {
			assert.is(view.findServiceRoute('GET', path), undefined);
		}
	});
});

describe('active configuration', () => {
	const delta = (version: number) => ({version, change: {}});

	it('never installs a lower version or skips a version; guards against a reverted change (I14)', () => {
		const activeConfig = createActiveConfig(base);
		assert.not(activeConfig.install({snapshot: {version: 6, objects: []}}));
		assert.not(activeConfig.install({deltas: [delta(9)]}));
		assert.ok(activeConfig.install({deltas: [delta(9), delta(7), delta(8)]}));
		assert.is(activeConfig.view().version, 9);
		assert.is(activeConfig.view().snapshot.objects.length, base.objects.length);
	});

	it('updates a peer with the retained deltas, or else with the snapshot; guards against peers that cannot catch up', () => {
		const activeConfig = createActiveConfig(base);
		activeConfig.install({deltas: [delta(8), delta(9)]});
		assert.equal(activeConfig.updateSince(8), {version: 9, deltas: [delta(9)]});
		assert.is(activeConfig.updateSince(3).snapshot?.version, 9);
		assert.equal(activeConfig.updateSince(12), {version: 9, deltas: []});
	});

	it('prefers deltas to a snapshot in the same update; guards against sending the whole snapshot to every peer of a publisher', () => {
		const activeConfig = createActiveConfig(base);
		const snapshot = {...base, version: 8};
		assert.ok(activeConfig.install({deltas: [delta(8)], snapshot}));
		assert.equal(activeConfig.updateSince(7), {version: 8, deltas: [delta(8)]});
	});

	it('installs a snapshot and the deltas after it; guards against a daemon that cannot pass a gap in the deltas', () => {
		const activeConfig = createActiveConfig(base);
		assert.ok(activeConfig.install({deltas: [delta(13), delta(12)], snapshot: {...base, version: 11}}));
		assert.is(activeConfig.view().version, 13);
		assert.equal(activeConfig.updateSince(11), {version: 13, deltas: [delta(12), delta(13)]});
	});

	it('equals a view that is rebuilt from the snapshot; guards against keys that are still valid after their withdrawal (I6)', () => {
		const hashes = ['1', '2', '3'].map(digit => hashKey(digit));
		const key = fc.record({
			kind: fc.constant('key' as const),
			name: fc.constantFrom('desk-1', 'k2', 'k3'),
			account: fc.constantFrom('order-desk', 'planning'),
			hash: fc.constantFrom(...hashes),
			state: fc.constantFrom('active' as const, 'withdrawn' as const),
		});
		const route = fc.record({kind: fc.constant('route' as const), name: fc.constantFrom('restock-plan', 'second'), service: fc.constant('restock')});
		const change = fc.record({
			put: fc.uniqueArray(fc.oneof(key, route), {selector: objectKey, maxLength: 3}),
			delete: fc.constantFrom([], [{kind: 'key' as const, name: 'desk-1'}], [{kind: 'route' as const, name: 'second'}]),
		});
		fc.assert(fc.property(fc.array(change, {minLength: 1, maxLength: 6}), changes => {
			const activeConfig = createActiveConfig(base);
			for (const [index, given] of changes.entries()) {
				const checked = checkChange(activeConfig.view(), given);
				activeConfig.install({deltas: [{version: base.version + 1 + index, change: checked.ok ? checked.delta.change : {}}]});
			}

			const view = activeConfig.view();
			const rebuilt = createConfigView(view.snapshot);
			for (const hash of [...hashes, hashKey('secret')]) {
				assert.equal(view.findKey(hash), rebuilt.findKey(hash));
			}

			assert.equal(view.listModelRoutes(), rebuilt.listModelRoutes());
		}), {seed: 6});
	});

	it('calls listeners until their signal aborts', () => {
		const activeConfig = createActiveConfig();
		const controller = new AbortController();
		const seen: number[] = [];
		activeConfig.onChange(({version}) => {
			seen.push(version);
		}, controller.signal);
		activeConfig.install({snapshot: base});
		controller.abort();
		activeConfig.install({deltas: [delta(8)]});
		assert.equal(seen, [7]);
	});
});
