import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {SplitRejections} from '../split-rejections.js';

describe('rejections of split requests', () => {
	it('blame the engine that rejects with several partners, not each partner', () => {
		const changing = new SplitRejections();
		const partners = [new SplitRejections(), new SplitRejections()];
		assert.not(changing.recordRejection('p1'));
		assert.not(partners[0]!.recordRejection('d1'));
		assert.ok(changing.recordRejection('p2'));
		assert.not(partners[1]!.recordRejection('d1'));
	});

	it('blame the engine whose KV caches cannot be fetched; guards against all decode engines ejected because of one prefill engine', () => {
		const lapsing = new SplitRejections();
		const decoders = [new SplitRejections(), new SplitRejections(), new SplitRejections()];
		const blamed = decoders.map((decoder, index) => ({decoder: decoder.recordRejection('p1'), prefill: lapsing.recordRejection(`d${index}`)}));
		assert.equal(blamed.map(({decoder}) => decoder), [false, false, false]);
		assert.equal(blamed.map(({prefill}) => prefill), [false, true, true]);
	});

	it('are forgotten after a successful request; guards against engines blamed for unrelated rejections', () => {
		const engine = new SplitRejections();
		engine.recordRejection('p1');
		engine.recordSuccess();
		assert.not(engine.recordRejection('p2'));
	});
});
