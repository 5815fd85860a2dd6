/**
 * The check of only the affected objects must find the same as a check of the whole next version. If it skipped an affected
 * object, a dangling reference or a shared hash would be accepted.
 */
import {describe, it} from '@hawthorncleat/test-kit';
import type {ConfigObject} from '@hawthorncleat/schema';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {checkChange} from '../check-change.js';
import {createConfigView} from '../create-view.js';
import {emptySnapshot} from '../delta.js';
import {hashKey} from '../objects.js';
import {base, objects} from './fixture.js';

const names = ['order-desk', 'planning', 'desk-1', 'desk', 'restock', 'bergen-1', 'new-one'];
const hashes = ['secret', 'second', 'third'].map(key => hashKey(key));
const name = fc.constantFrom(...names);
const accountNames = fc.uniqueArray(name, {minLength: 1, maxLength: 2});

const object = fc.oneof(
	fc.record({kind: fc.constant('client-account' as const), name}),
	fc.record({
		kind: fc.constant('key' as const), name, account: name, hash: fc.constantFrom(...hashes), state: fc.constant('active' as const),
	}),
	fc.record({kind: fc.constant('service' as const), name, places: fc.tuple(fc.constantFrom('bergen-1', 'NO-BGO-1', 'planning', 'nowhere'))}),
	fc.record({
		kind: fc.constant('place' as const), name, region: fc.constant('west'), names: fc.record({code: fc.constantFrom('NO-BGO-1', 'SVC-RESTOCK', 'NO-BGO-2')}),
	}),
	fc.record({
		kind: fc.constant('route' as const), name, service: name, accounts: accountNames, path: fc.constantFrom('/stock', '/new'), action: fc.constant(false),
	}),
);

const identity = fc.record({kind: fc.constantFrom<ConfigObject['kind']>('client-account', 'key', 'service', 'route', 'place'), name});
const change = fc.record({put: fc.array(object, {maxLength: 3}), delete: fc.array(identity, {maxLength: 2})});

describe('the scope of a check', () => {
	it('does not change the findings; guards against an overlooked dangling reference or shared hash', () => {
		let rejected = 0;
		fc.assert(fc.property(fc.array(change, {minLength: 1, maxLength: 5}), changes => {
			let view = createConfigView(base);
			for (const given of changes) {
				const affected = checkChange(view, given);
				const whole = checkChange(view, given, 'whole');
				assert.equal(affected.ok ? [] : affected.findings, whole.ok ? [] : whole.findings);
				view = affected.ok ? affected.next : view;
				rejected += affected.ok ? 0 : 1;
			}
		}), {seed: 51, numRuns: 2000});
		assert.ok(rejected > 1000, `only ${rejected} changes were rejected`);
	});

	it('includes all objects for a base that was never checked; guards against accepting an invalid file that was edited by hand', () => {
		const edited = createConfigView({version: 1, objects: objects.filter(({kind}) => kind !== 'client-account')});
		const checked = checkChange(edited, {}, 'whole');
		assert.ok(!checked.ok);
		assert.equal(checked.findings.map(({kind, field}) => `${kind} ${field}`), ['key account', 'route accounts/0']);
		assert.ok(checkChange(createConfigView(emptySnapshot), {put: objects}, 'whole').ok);
	});
});
