import type {ConfigObject} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {createConfigView} from '../create-view.js';
import {diffSnapshots, overlappingObjects} from '../delta.js';
import {sortObjects} from '../objects.js';

const seed = 20_260;

const account = fc.record({
	kind: fc.constant('client-account' as const),
	name: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
	weight: fc.integer({min: 1, max: 3}),
});
const objects = fc.uniqueArray(account, {selector: ({name}) => name})
	.map(list => sortObjects(list as ConfigObject[]));

describe('deltas', () => {
	it('turn one snapshot into the other; guards against daemons whose configuration differs from the store', () => {
		fc.assert(fc.property(objects, objects, (before, after) => {
			const from = {version: 3, objects: before};
			const to = {version: 4, objects: after};
			assert.equal(createConfigView(from).advance({version: 4, change: diffSnapshots(from, to)}).snapshot, to);
		}), {seed});
	});

	it('overlap symmetrically; guards against one of two concurrent changes being lost', () => {
		fc.assert(fc.property(objects, objects, (a, b) => {
			const forward = overlappingObjects({put: a}, {put: b}).map(({name}) => name);
			assert.equal(forward, overlappingObjects({put: b}, {put: a}).map(({name}) => name));
		}), {seed});
	});

	it('cannot be applied to a version other than the previous one', () => {
		assert.throws(() => createConfigView({version: 3, objects: []}).advance({version: 5, change: {}}));
	});
});
