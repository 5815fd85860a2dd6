import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	brandAs, completeClaimRow, findBatch, classifyClaimRow, maxBatchRows, maxRecordedAnswerBytes, readClaimRow, type ActionId, type ClaimId, type ClaimRow, type EntryId,
} from '../index.js';

const row: ClaimRow = {
	claimId: brandAs<ClaimId>('c1'), entryId: brandAs<EntryId>('e1'), digest: 'd1', state: 'claimed',
};
const request = {actionId: brandAs<ActionId>('a1'), digest: 'd1'};
const answer = {status: 200, headers: {}, bodyBase64: 'b2s='};

describe('claims', () => {
	it('maps each state of a row to the right result', () => {
		assert.equal(classifyClaimRow(row, request), {kind: 'in-doubt'});
		assert.equal(classifyClaimRow({...row, state: 'released'}, request), {kind: 'claimable'});
		assert.equal(classifyClaimRow(completeClaimRow(row, answer), request), {kind: 'done', answer});
		assert.equal(classifyClaimRow(row, {...request, digest: 'd2'}), {kind: 'key-reused'});
	});

	it('does not record an answer that is too large', () => {
		const large = {...answer, bodyBase64: 'x'.repeat(maxRecordedAnswerBytes)};
		assert.equal(classifyClaimRow(completeClaimRow(row, large), request), {kind: 'already-ran'});
	});

	it('never puts two items with the same key into one batch', () => {
		const full = new Map(Array.from({length: maxBatchRows}, (_, index) => [`k${index}`, 0]));
		const batches = [full, new Map([['a', 1]]), new Map([['b', 2]])];
		assert.is(findBatch(batches, 'a'), batches[2]);
		assert.is(findBatch(batches, 'b'), batches[1]);
	});

	it('rejects values that are not a claim row', () => {
		assert.equal(readClaimRow(row), row);
		assert.is(readClaimRow({...row, state: 'other'}), undefined);
	});
});
