import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {checkChange} from '../check-change.js';
import {createConfigView} from '../create-view.js';
import {emptySnapshot} from '../delta.js';
import {hashKey} from '../objects.js';
import {base, objects, place} from './fixture.js';

const baseView = createConfigView(base);

/** `place of the finding: value` for each finding, in order. */
const findingsOf = (change: unknown): string[] => {
	const checked = checkChange(baseView, change);
	return checked.ok
		? []
		: checked.findings.map(({kind, name, field, value}) =>
			`${kind} ${name} ${field} ${JSON.stringify(value)}`);
};

const desk = {kind: 'service', name: 'desk', places: ['bergen-1']};

describe('checkChange', () => {
	it('accepts a valid configuration; guards against rules that refuse correct files', () => {
		const checked = checkChange(createConfigView(emptySnapshot), {put: objects});
		assert.ok(checked.ok);
		assert.is(checked.next.version, 1);
		assert.is(checked.next.snapshot.objects.length, objects.length);
	});

	it('reports everything at once; guards against fixing one finding per attempt', () => {
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

	it('gives the place in the change; guards against findings that cannot be located in the file', () => {
		const checked = checkChange(baseView, {put: [{...desk, places: ['bergen-1', 'nowhere']}]});
		assert.ok(!checked.ok);
		assert.equal(checked.findings.map(finding => finding.place), ['/put/0/places/1']);
	});

	it('finds references that a deletion leaves behind; guards against keys of a deleted account', () => {
		assert.equal(
			findingsOf({delete: [{kind: 'client-account', name: 'order-desk'}]}),
			['key desk-1 account "order-desk"', 'route orders accounts/0 "order-desk"'],
		);
	});

	it('finds a reference that only leads to another kind; guards against resolving by name alone', () => {
		assert.equal(findingsOf({put: [{...desk, places: ['order-desk']}]}), ['service desk places/0 "order-desk"']);
	});

	it('finds names that two objects claim; guards against ambiguous references', () => {
		const findings = findingsOf({put: [{...desk, names: {code: place.names.code}}]});
		assert.equal(findings, ['service desk names/code "NO-BGO-1"', 'place bergen-1  "NO-BGO-1"']);
	});

	it('finds a route name that contradicts a service name; guards against a wrong model for a request', () => {
		const put = [
			{
				kind: 'service', name: 'other', modelVersion: 'restock-v2', places: ['bergen-1'],
			},
			{kind: 'route', name: 'restock', service: 'other'},
		];
		assert.equal(findingsOf({put}), ['route restock name "restock"']);
	});

	it('finds duplicates in one change; guards against the last one silently winning', () => {
		assert.equal(findingsOf({put: [desk, desk]}), ['service desk name "desk"']);
	});

	it('finds mixed-up and unsafe routes; guards against routes that cannot work', () => {
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

	it('finds actions that are open or left unsaid; guards against orders that are repeated or share keys', () => {
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

	it('finds equal paths only where methods meet; guards against a request with two routes', () => {
		const route = {
			kind: 'route', name: 'more', service: 'desk', path: '/stock/', action: false,
		};
		assert.equal(findingsOf({put: [{...route, methods: ['PUT']}]}), []);
		assert.is(findingsOf({put: [route]}).length, 2);
	});

	it('finds a hash used twice; guards against a key that stands for two accounts', () => {
		const key = {
			kind: 'key', name: 'copy', account: 'planning', hash: hashKey('secret'), state: 'active',
		};
		assert.is(findingsOf({put: [key]}).length, 2);
	});

	it('refuses a base version from the future and values that are no change', () => {
		assert.equal(findingsOf({baseVersion: 8}), ['  baseVersion 8']);
		for (const value of [null, 4, [], {put: 3}, {puts: []}]) {
			assert.ok(findingsOf(value).length > 0);
		}
	});
});
