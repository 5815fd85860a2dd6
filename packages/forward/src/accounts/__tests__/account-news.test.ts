import {Buffer} from 'node:buffer';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {decodeAccountNews, encodeAccountNews, type AccountNews} from '../account-news.js';

const news: AccountNews = {incarnation: 123_456_789, accounts: [{account: 'acme', spent: 1_234_567, perSecond: 299_000}, {account: 'b', spent: 0, perSecond: 0.01}]};

const transfer = (value: unknown): unknown => {
	const text = JSON.stringify(value);
	return JSON.parse(text);
};

describe('news of client accounts', () => {
	it('arrive as they were sent', () => {
		assert.equal(decodeAccountNews(transfer(encodeAccountNews(news))), news);
	});

	it('leave out damaged accounts and are ignored without an incarnation; guards against messages of other versions', () => {
		assert.equal(decodeAccountNews([7, [['acme', 5, 1, 'later field'], ['b', -1, 1], ['c', 2], [1, 2, 3], 'x', null]])?.accounts, [{account: 'acme', spent: 5, perSecond: 1}]);
		for (const value of [undefined, null, 7, 'x', {}, [], ['x', []], [-1, []], [7, {}], [null, []]]) {
			assert.is(decodeAccountNews(value), undefined);
		}
	});

	it('have amounts that are finite and not negative, whatever arrives', () => {
		fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (first, second) => {
			for (const value of [first, [first, second], [1, [[first, second, 1], ['a', first, second]]]]) {
				const amounts = decodeAccountNews(value)?.accounts.flatMap(({spent, perSecond}) => [spent, perSecond]) ?? [];
				assert.ok(amounts.every(amount => Number.isFinite(amount) && amount >= 0));
			}
		}), {seed: 62, numRuns: 300});
	});

	it('of twelve accounts leave most of a datagram to the load; guards against messages that no longer fit', () => {
		const accounts = Array.from({length: 12}, (_, index) => ({account: `account-${index}`, spent: 9_999_999_999, perSecond: 299_000}));
		assert.ok(Buffer.byteLength(JSON.stringify(encodeAccountNews({...news, accounts}))) < 500);
	});
});
