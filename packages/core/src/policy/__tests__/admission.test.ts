import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	admit, defaultLatencyTarget, firstTokenLimitMs, meetsTarget,
} from '../index.js';

const rates = {
	prefillTokensPerSecond: 10_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};
const prefill = {
	distanceMs: 1, rates, role: 'prefill', running: 0, waitingTokens: 0,
} as const;
const decode = {
	rates, role: 'decode', running: 10, waitingTokens: 0,
} as const;
const request = {
	target: defaultLatencyTarget, promptTokens: 1000, uncachedTokens: 1000, outputTokens: 100, elapsedMs: 0,
};

describe('admit', () => {
	it('guards against queueing a request whose first token would be late', () => {
		const admission = admit({prefill: {...prefill, waitingTokens: 6000}, decode: [decode]}, request);
		assert.not(admission.accepted);
		assert.is(!admission.accepted && admission.reason, 'first-token');
	});

	it('guards against rejecting a request that meets its latency target', () => {
		assert.ok(admit({prefill: {...prefill, waitingTokens: 4000}, decode: [decode]}, request).accepted);
	});

	it('guards against accepting a request when every decode endpoint would exceed the time per output token', () => {
		const admission = admit({prefill, decode: [{...decode, running: 64}]}, request);
		assert.is(!admission.accepted && admission.reason, 'pace');
	});

	it('guards against a mixed engine that exceeds the time per output token because of its prefill work', () => {
		const slow = {...rates, chunkTokens: 300, stepMsPerRequest: 0.5};
		const mixed = {...prefill, role: 'mixed', rates: slow} as const;
		assert.ok(admit({prefill: mixed, decode: [{...mixed, running: 40}]}, request).accepted);
		assert.not(admit({prefill: mixed, decode: [{...mixed, running: 40, waitingTokens: 100}]}, request).accepted);
	});

	it('guards against a retry time after which the request would be rejected again', () => {
		const waiting = fc.integer({min: 0, max: 60_000});
		fc.assert(fc.property(waiting, fc.integer({min: 1, max: 4000}), (waitingTokens, promptTokens) => {
			const sized = {...request, promptTokens, uncachedTokens: promptTokens};
			const first = admit({prefill: {...prefill, waitingTokens}, decode: [decode]}, sized);
			if (!first.accepted) {
				const drained = Math.max(0, waitingTokens - ((first.retryAfterMs + 1) * 10));
				assert.ok(admit({prefill: {...prefill, waitingTokens: drained}, decode: [decode]}, sized).accepted);
			}
		}), {seed: 12});
	});

	it('guards against a request that is not rejected although there is no endpoint', () => {
		const admission = admit({prefill: undefined, decode: []}, request);
		assert.is(!admission.accepted && admission.reason, 'no-endpoint');
	});
});

describe('meetsTarget', () => {
	it('guards against a limit that ignores the prompt length or the time per output token', () => {
		const limit = firstTokenLimitMs(defaultLatencyTarget, 1000);
		const answer = {
			promptTokens: 1000, outputTokens: 101, firstTokenMs: limit, lastTokenMs: limit + 6600,
		};
		assert.is(limit, 545);
		assert.ok(meetsTarget(defaultLatencyTarget, answer));
		assert.not(meetsTarget(defaultLatencyTarget, {...answer, lastTokenMs: limit + 6601}));
		assert.not(meetsTarget(defaultLatencyTarget, {...answer, firstTokenMs: limit + 1}));
	});
});
