import {setTimeout as sleep} from 'node:timers/promises';
import {ServerResponse, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CallerExchange} from '../caller-exchange.js';
import type {AdmittedRequest} from '../forward-types.js';
import {StreamRelay} from '../stream-relay.js';

const clock = {nowMs: () => performance.now()};

const createRequest = (isResumable: boolean): {exchange: CallerExchange; admitted: AdmittedRequest} => {
	const exchange = new CallerExchange(new ServerResponse({method: 'GET'} as IncomingMessage), clock);
	return {exchange, admitted: {exchange, route: {isResumable, latencyTargetMs: 10}} as unknown as AdmittedRequest};
};

describe('the stall limit of a stream', () => {
	it('does not expire before the deadline of the request if the stream is not resumable; guards against an endpoint blamed for a short deadline', async () => {
		const {exchange, admitted} = createRequest(false);
		exchange.setTimeLimit(30);
		const limit = new StreamRelay(exchange, undefined).createStallLimit(admitted, {mayMove: true, expectedMs: 0});
		// Sleeps longer than the deadline, because a timer may fire later than another one of the same length.
		await sleep(60);
		assert.not(limit.isExpired);
		assert.is(exchange.endReason, 'timeout');
		limit.clear();
	});

	it('is longer if the endpoint was expected to be slow; guards against streams moved away from a busy endpoint', async () => {
		const {exchange, admitted} = createRequest(true);
		exchange.setTimeLimit(10_000);
		const relay = new StreamRelay(exchange, undefined);
		const [fast, slow] = [0, 2000].map(expectedMs => relay.createStallLimit(admitted, {mayMove: true, expectedMs}));
		await sleep(1300);
		assert.ok(fast!.isExpired);
		assert.not(slow!.isExpired);
		slow!.clear();
	});
});
