import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {checkChange} from '../check-change.js';
import {createConfigView} from '../create-view.js';
import {emptySnapshot} from '../delta.js';
import {hashKey} from '../objects.js';
import {base, objects, place} from './fixture.js';

const baseView = createConfigView(base);

/** Formats each finding as `kind name field value`, in the order of the findings. */
const findingsOf = (change: unknown): string[] => {
	const checked = checkChange(baseView, change);
	return checked.ok
		? []
		: checked.findings.map(({kind, name, field, value}) =>
			`${kind} ${name} ${field} ${JSON.stringify(value)}`);
};

const desk = {kind: 'service', name: 'desk', places: ['bergen-1']};

describe('checkChange', () => {
	it('accepts a valid configuration; guards against rules that reject correct files', () => {
		const checked = checkChange(createConfigView(emptySnapshot), {put: objects});
		assert.ok(checked.ok);
		assert.is(checked.next.version, 1);
		assert.is(checked.next.snapshot.objects.length, objects.length);
	});

	it('reports all findings at once; guards against one attempt per finding', () => {
		const findings = findingsOf({
			put: [
				{kind: 'client-account', name: 'Bad', weight: 0},
				{kind: 'toaster', name: 'x'},
				null,
				{kind: 'route', name: 'r', service: 'nothing'},
			],
			delete: [{kind: 'place', name: 'gone'}],
		});
		assert.equal(findings, [
			'client-account Bad name "Bad"',
			'client-account Bad weight 0',
			'toaster x kind "toaster"',
			'  kind undefined',
			'place gone name "gone"',
			'route r service "nothing"',
		]);
	});

	it('reports the location in the change; guards against findings that cannot be located in the file', () => {
		const checked = checkChange(baseView, {put: [{...desk, places: ['bergen-1', 'nowhere']}]});
		assert.ok(!checked.ok);
		assert.equal(checked.findings.map(finding => finding.place), ['/put/0/places/1']);
	});

	it('finds references to a deleted object; guards against valid keys of a deleted account', () => {
		assert.equal(
			findingsOf({delete: [{kind: 'client-account', name: 'order-desk'}]}),
			['key desk-1 account "order-desk"', 'route orders accounts/0 "order-desk"'],
		);
	});

	it('finds a reference to an object of the wrong kind; guards against resolving by name alone', () => {
		assert.equal(findingsOf({put: [{...desk, places: ['order-desk']}]}), ['service desk places/0 "order-desk"']);
	});

	it('finds a name that two objects have; guards against ambiguous references', () => {
		const findings = findingsOf({put: [{...desk, names: {code: place.names.code}}]});
		assert.equal(findings, ['service desk names/code "NO-BGO-1"', 'place bergen-1  "NO-BGO-1"']);
	});

	it('finds a route with the name of a service that it does not lead to; guards against requests that reach the wrong model', () => {
		const put = [
			{
				kind: 'service', name: 'other', modelVersion: 'restock-v2', places: ['bergen-1'],
			},
			{kind: 'route', name: 'restock', service: 'other'},
		];
		assert.equal(findingsOf({put}), ['route restock name "restock"']);
	});

	it('finds an object that a change contains twice; guards against one of them being dropped silently', () => {
		assert.equal(findingsOf({put: [desk, desk]}), ['service desk name "desk"']);
	});

	it('finds contradictory and unsafe routes; guards against routes that cannot work', () => {
		const findings = findingsOf({
			put: [
				{kind: 'route', name: 'a', service: 'desk'},
				{
					kind: 'route', name: 'b', service: 'restock', path: '/b', action: true,
				},
				{
					kind: 'route', name: 'c', service: 'desk', path: '/c', methods: ['GET'], action: true,
				},
				{
					kind: 'route', name: 'd', service: 'desk', path: '/d', access: 'open', accounts: ['planning'], action: false,
				},
				{
					kind: 'route', name: 'e', service: 'desk', path: '/e/../orders', action: false,
				},
			],
		});
		assert.equal(findings, [
			'route a path undefined',
			'route b path "/b"',
			'route b action true',
			'route c methods ["GET"]',
			'route d accounts ["planning"]',
			'route e path "/e/../orders"',
		]);
	});

	it('finds open action routes and a missing action field; guards against orders that run twice or share idempotency keys', () => {
		const route = {kind: 'route', service: 'desk', path: '/desk'};
		assert.equal(findingsOf({
			put: [
				desk,
				{
					...route, name: 'unsaid', path: '/a', methods: ['GET', 'POST'],
				},
				{...route, name: 'all-methods', path: '/b'},
				{
					...route, name: 'open-action', path: '/c', methods: ['POST'], action: true, access: 'open',
				},
				{
					...route, name: 'said', path: '/d', action: false,
				},
				{
					...route, name: 'reads', path: '/e', methods: ['GET', 'HEAD'],
				},
			],
		}), [
			'route all-methods action undefined',
			'route open-action action true',
			'route unsaid action undefined',
		]);
	});

	it('finds equal paths only if they have a method in common; guards against a request that matches two routes', () => {
		const route = {
			kind: 'route', name: 'more', service: 'desk', path: '/stock/', action: false,
		};
		assert.equal(findingsOf({put: [{...route, methods: ['PUT']}]}), []);
		assert.is(findingsOf({put: [route]}).length, 2);
	});

	it('finds a hash that two keys have; guards against a key that belongs to two accounts', () => {
		const key = {
			kind: 'key', name: 'copy', account: 'planning', hash: hashKey('secret'), state: 'active',
		};
		assert.is(findingsOf({put: [key]}).length, 2);
	});

	it('rejects a base version that does not exist yet and values that are not a change', () => {
		assert.equal(findingsOf({baseVersion: 8}), ['  baseVersion 8']);
		for (const value of [null, 4, [], {put: 3}, {puts: []}]) {
			assert.ok(findingsOf(value).length > 0);
		}
	});
});
