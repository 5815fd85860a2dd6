import {Buffer} from 'node:buffer';
import {brandAs, type RequestId} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CrashGuard} from '../crash-guard.js';
import type {AdmittedRequest} from '../forward-types.js';

type Source = Pick<AdmittedRequest, 'account' | 'body' | 'request'>;

/** A request with an id of its own each time, as callers send it again. */
let requests = 0;
const createRequest = (body: string): Source => {
	requests += 1;
	return {
		request: {
			id: brandAs<RequestId>(`r${requests}`),
			method: 'POST',
			target: '/plan/x',
			hostname: 'h.example',
			promptTokens: 0,
			guessedTokens: 0,
			maxOutputTokens: 0,
			segments: [],
			headers: {},
		},
		account: undefined,
		body: Buffer.from(body),
	};
};

const pauseMs = 1000;

const createGuard = (clock = createManualClock()): CrashGuard => new CrashGuard({clock, onCrash: () => undefined});

const crashAt = (guard: CrashGuard, endpoint: string, body: string): void => {
	guard.recordBrokenRequest(endpoint, createRequest(body));
	guard.recordCrash(endpoint);
};

describe('a request that crashes the endpoints that run it', () => {
	it('is refused after three crashes, whatever its id; guards against one request that takes all endpoints down', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2']) {
			crashAt(guard, endpoint, 'bad');
			clock.advance(pauseMs);
			assert.is(guard.quarantineRemainingMs(createRequest('bad')), undefined);
		}

		crashAt(guard, 'i-3', 'bad');
		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
		assert.is(guard.quarantineRemainingMs(createRequest('good')), undefined);
	});

	it('is known to entries that have heard of it, and one crash that all of them saw counts once', () => {
		const clock = createManualClock();
		const [first, second] = [createGuard(clock), createGuard(clock)];
		for (const endpoint of ['i-1', 'i-2']) {
			crashAt(first, endpoint, 'bad');
			crashAt(second, endpoint, 'bad');
			clock.advance(pauseMs);
		}

		second.applyPeerReports(first.reportsToSend());
		assert.is(second.quarantineRemainingMs(createRequest('bad')), undefined);
		crashAt(first, 'i-3', 'bad');
		second.applyPeerReports(first.reportsToSend());
		assert.ok(second.quarantineRemainingMs(createRequest('bad'))! > 0);
	});

	it('is not seen in lost answers of endpoints that live on; guards against sound requests refused on a bad connection', () => {
		const guard = createGuard();
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			guard.recordBrokenRequest(endpoint, createRequest('read'));
		}

		assert.is(guard.quarantineRemainingMs(createRequest('read')), undefined);
	});

	it('is not seen in reads that all look alike; guards against all reads of one caller refused after some crashes', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			crashAt(guard, endpoint, '');
			clock.advance(pauseMs);
			guard.recordCompletedRequest(createRequest(''));
		}

		assert.is(guard.quarantineRemainingMs(createRequest('')), undefined);
	});

	it('is not seen where several endpoints end at once with equal requests', () => {
		const guard = createGuard();
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			crashAt(guard, endpoint, '');
		}

		assert.is(guard.quarantineRemainingMs(createRequest('')), undefined);
	});

	it('is not seen in a request that broke long before the crash, and may run again after a while', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			guard.recordBrokenRequest(endpoint, createRequest('early'));
		}

		clock.advance(10_000);
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			guard.recordCrash(endpoint);
			crashAt(guard, `${endpoint}-b`, 'bad');
			clock.advance(pauseMs);
		}

		assert.is(guard.quarantineRemainingMs(createRequest('early')), undefined);
		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
		clock.advance(61_000);
		assert.is(guard.quarantineRemainingMs(createRequest('bad')), undefined);
	});
});
