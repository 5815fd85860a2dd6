import {Buffer} from 'node:buffer';
import {brandAs, type RequestId} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CrashGuard} from '../crash-guard.js';
import type {AdmittedRequest} from '../forward-types.js';

type RequestContent = Pick<AdmittedRequest, 'account' | 'body' | 'request'>;

let requestCount = 0;
/** Creates a request with a new id each time, as callers retry it. */
const createRequest = (body: string): RequestContent => {
	requestCount += 1;
	return {
		request: {
			id: brandAs<RequestId>(`r${requestCount}`),
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

const crashIntervalMs = 1000;

const createGuard = (clock = createManualClock()): CrashGuard => new CrashGuard({clock, onCrash: () => undefined});

const crashAt = (guard: CrashGuard, endpoint: string, body: string): void => {
	guard.recordBrokenRequest(endpoint, createRequest(body));
	guard.recordCrash(endpoint);
};

describe('a request whose connections break', () => {
	it('is quarantined after three crashes, whatever its id; guards against one request that crashes all endpoints', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2']) {
			crashAt(guard, endpoint, 'bad');
			clock.advance(crashIntervalMs);
			assert.is(guard.quarantineRemainingMs(createRequest('bad')), undefined);
		}

		crashAt(guard, 'i-3', 'bad');
		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
		assert.is(guard.quarantineRemainingMs(createRequest('good')), undefined);
	});

	it('is quarantined by entries that received crash reports, and a crash that several entries detect counts once', () => {
		const clock = createManualClock();
		const [first, second] = [createGuard(clock), createGuard(clock)];
		for (const endpoint of ['i-1', 'i-2']) {
			crashAt(first, endpoint, 'bad');
			crashAt(second, endpoint, 'bad');
			clock.advance(crashIntervalMs);
		}

		second.applyPeerReports(first.reportsToSend());
		assert.is(second.quarantineRemainingMs(createRequest('bad')), undefined);
		crashAt(first, 'i-3', 'bad');
		second.applyPeerReports(first.reportsToSend());
		assert.ok(second.quarantineRemainingMs(createRequest('bad'))! > 0);
	});

	it('is not suspected when answers get lost and their endpoints stay up; guards against harmless requests rejected on a bad connection', () => {
		const guard = createGuard();
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			guard.recordBrokenRequest(endpoint, createRequest('read'));
		}

		assert.is(guard.quarantineRemainingMs(createRequest('read')), undefined);
	});

	it('is not suspected while equal requests complete; guards against all reads of one caller rejected after some crashes', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			crashAt(guard, endpoint, '');
			clock.advance(crashIntervalMs);
			guard.recordCompletedRequest(createRequest(''));
		}

		assert.is(guard.quarantineRemainingMs(createRequest('')), undefined);
	});

	it('is not suspected when several endpoints crash at once with equal requests', () => {
		const guard = createGuard();
		for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
			crashAt(guard, endpoint, '');
		}

		assert.is(guard.quarantineRemainingMs(createRequest('')), undefined);
	});

	it('is not suspected if it broke off long before the crash, and may run again when its quarantine ends', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			guard.recordBrokenRequest(endpoint, createRequest('early'));
		}

		clock.advance(10_000);
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			guard.recordCrash(endpoint);
			crashAt(guard, `${endpoint}-b`, 'bad');
			clock.advance(crashIntervalMs);
		}

		assert.is(guard.quarantineRemainingMs(createRequest('early')), undefined);
		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
		clock.advance(61_000);
		assert.is(guard.quarantineRemainingMs(createRequest('bad')), undefined);
	});
});
