import {Buffer} from 'node:buffer';
import {
	brandAs, type EndpointId, type RegisteredEndpoint, type RequestId,
} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CrashGuard} from '../crash-guard.js';
import type {AdmittedRequest} from '../../requests/admitted-request.js';

type RequestContent = Pick<AdmittedRequest, 'account' | 'body' | 'request' | 'service'>;

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
			hasTokenCount: true,
			promptTokens: 0,
			guessedTokens: 0,
			maxOutputTokens: 0,
			segments: [],
			headers: {},
		},
		account: undefined,
		service: {name: 'models', maxConnections: 100},
		body: Buffer.from(body),
	};
};

const createEndpoint = (id: string): RegisteredEndpoint => ({
	id: brandAs<EndpointId>(id), service: 'models', address: '127.0.0.1', port: 1, dataCentre: 'a', slots: 6, isLeaving: false, heartbeat: 1, startedAt: 1,
});

const crashIntervalMs = 1000;

const createGuard = (clock = createManualClock(), refusesConnections = async (): Promise<boolean> => false): CrashGuard =>
	new CrashGuard({
		clock,
		position: () => ({index: 0, count: 1}),
		onTrial: () => undefined,
		refusesConnections,
		onCrash: () => undefined,
		onQuarantine: () => undefined,
		onAdoption: () => undefined,
		onQuarantineEnd: () => undefined,
		onRequestChange: () => undefined,
	});

/** The run began before any crash, unless `startedMs` says otherwise. */
const crashAt = (guard: CrashGuard, endpoint: string, body: string, startedMs = Number.NEGATIVE_INFINITY): void => {
	guard.recordBrokenRequest(endpoint, createRequest(body), {startedMs, hasJustBegun: true});
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
			guard.recordBrokenRequest(endpoint, createRequest('read'), {startedMs: 0, hasJustBegun: true});
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
			guard.recordBrokenRequest(endpoint, createRequest('early'), {startedMs: 0, hasJustBegun: true});
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

	it('counts each crash of attempts that follow one another at once; guards against attempts of one request that count as one crash', () => {
		const clock = createManualClock();
		const guard = createGuard(clock);
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			const startedMs = clock.nowMs();
			clock.advance(20);
			crashAt(guard, endpoint, 'bad', startedMs);
			clock.advance(1);
		}

		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
	});

	it('is quarantined at another entry by the first report of three crashes that followed one another at once', () => {
		const clock = createManualClock();
		const [first, second] = [createGuard(clock), createGuard(clock)];
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			const startedMs = clock.nowMs();
			clock.advance(20);
			crashAt(first, endpoint, 'bad', startedMs);
			clock.advance(1);
		}

		second.applyPeerReports(first.reportsToSend());
		assert.ok(second.quarantineRemainingMs(createRequest('bad'))! > 0);
	});

	it('counts one crash when entries repeat their reports of endpoints that crashed at once; guards against a common cause that counts as several', () => {
		const clock = createManualClock();
		const guards = ['i-1', 'i-2', 'i-3'].map(endpoint => {
			const guard = createGuard(clock);
			crashAt(guard, endpoint, '');
			return guard;
		});
		const receiver = createGuard(clock);
		for (let sent = 0; sent < 3; sent += 1) {
			for (const guard of guards) {
				receiver.applyPeerReports(guard.reportsToSend());
			}

			clock.advance(600);
		}

		assert.is(receiver.quarantineRemainingMs(createRequest('')), undefined);
	});

	// Crashes of one endpoint within five seconds counted once, and a quarantine let the request through as each of its crashes got a minute old.
	for (const endpointCount of [1, 4, 30]) {
		it(`is let through three times at most in an hour after its third crash, with ${endpointCount} endpoints; guards against endpoints that crash all the time`, () => {
			const clock = createManualClock();
			const guards = [createGuard(clock), createGuard(clock)];
			const crashesMs: number[] = [];
			const runsMs: number[] = [];
			for (let turn = 0; clock.nowMs() < 3_600_000; turn += 1) {
				const guard = guards[turn % guards.length]!;
				if (guard.quarantineRemainingMs(createRequest('bad')) === undefined) {
					const startedMs = clock.nowMs();
					runsMs.push(startedMs);
					clock.advance(20);
					crashAt(guard, `i-${turn % endpointCount}`, 'bad', startedMs);
					crashesMs.push(clock.nowMs());
				}

				for (let sent = 0; sent < 3; sent += 1) {
					clock.advance(60);
					for (const receiver of guards) {
						for (const sender of guards.filter(other => other !== receiver)) {
							receiver.applyPeerReports(sender.reportsToSend());
						}
					}
				}

				clock.advance(2200);
			}

			const countedMs = crashesMs[2]! + 3000;
			assert.ok(runsMs.filter(startedMs => startedMs > countedMs).length <= 3, runsMs.join(' '));
		});
	}

	it('is quarantined anew at its first crash after a quarantine, at all entries, and forgotten when it completes; guards against quarantines that start over', () => {
		const clock = createManualClock();
		const [first, second] = [createGuard(clock), createGuard(clock)];
		const tell = (): void => {
			second.applyPeerReports(first.reportsToSend());
		};

		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			crashAt(first, endpoint, 'bad');
			tell();
			clock.advance(crashIntervalMs);
		}

		clock.advance(61_000);
		assert.is(second.quarantineRemainingMs(createRequest('bad')), undefined);
		crashAt(first, 'i-4', 'bad', clock.nowMs());
		tell();
		for (const guard of [first, second]) {
			assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 200_000);
		}

		clock.advance(241_000);
		second.recordCompletedRequest(createRequest('bad'));
		crashAt(second, 'i-5', 'bad', clock.nowMs());
		assert.is(second.quarantineRemainingMs(createRequest('bad')), undefined);
	});

	it('has its endpoint checked once at a time, and counts a refused connection as a crash', async () => {
		const clock = createManualClock();
		let checks = 0;
		const guard = createGuard(clock, async () => {
			checks += 1;
			return true;
		});
		for (const id of ['i-1', 'i-2', 'i-3']) {
			guard.recordBrokenRequest(id, createRequest('bad'), {startedMs: clock.nowMs(), hasJustBegun: true});
			await Promise.all([guard.checkEndpoint(createEndpoint(id)), guard.checkEndpoint(createEndpoint(id))]);
			clock.advance(crashIntervalMs);
		}

		assert.is(checks, 3);
		assert.ok(guard.quarantineRemainingMs(createRequest('bad'))! > 0);
	});
});
