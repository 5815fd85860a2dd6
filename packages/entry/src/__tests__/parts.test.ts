import {Buffer} from 'node:buffer';
import {brandAs, createRequestError, type ClientAccountName} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {silentLog} from '@hawthorncleat/telemetry';
import * as assert from 'uvu/assert';
import {classifyCallError, fitsLine, giveUp} from '../attempt-failure.js';
import {actionDigest, actionIdOf} from '../action-request.js';
import {UsageRecorder} from '../usage-flush.js';

const account = brandAs<ClientAccountName>('haugland');

describe('parts of the entry', () => {
	describe('attempt failures', () => {
		it('refuses a message that grows beyond a line when it is escaped, which would cut off all others', () => {
			const text = '\u0001'.repeat(200_000);
			assert.not(fitsLine({prompt: text}, text.length));
			assert.ok(fitsLine({prompt: 'x'.repeat(200_000)}, 200_000));
		});

		it('takes only a refusal as a proof that nothing ran', () => {
			const lost = createRequestError('lost', {code: 'connection-lost', ran: 'unknown'});
			const full = createRequestError('full', {code: 'overloaded', ran: 'not-run'});
			const ran = [lost, full, new Error('invalid parameters'), 'text'].map(err => classifyCallError(err).ran);
			assert.equal(ran, ['unknown', 'not-run', 'unknown', 'unknown']);
		});

		it('does not call a request "not run" because its last attempt was refused', () => {
			const refusal = {kind: 'refused', ran: 'not-run', code: 'overloaded'} as const;
			const {code, ran} = giveUp(refusal, 'unknown', 1000);
			assert.equal([code, ran], ['endpoint-failed', 'unknown']);
		});
	});

	describe('action ids', () => {
		it('keeps accounts, routes and keys apart that join to the same text', () => {
			assert.is.not(actionIdOf(account, 'orders', '1x'), actionIdOf(account, 'orders1', 'x'));
			assert.is(actionIdOf(account, 'orders', '1'), actionIdOf(account, 'orders', '1'));
		});

		it('tells two bodies apart', () => {
			const digest = (body: string): string => actionDigest({method: 'POST', path: '/orders', body: Buffer.from(body)});
			assert.is.not(digest('1'), digest('2'));
		});
	});

	describe('UsageRecorder', () => {
		it('keeps usage while the store is down and writes all of it afterwards', async () => {
			const wallClock = createManualClock(60_000);
			const written = new Map<string, unknown>();
			let isDown = true;
			let failures = 0;
			const recorder = new UsageRecorder({
				owner: () => ({entryId: 'e', incarnation: 'i'}),
				windowMs: 1000,
				wallClock,
				log: silentLog,
				store: {
					async write(key, value) {
						if (isDown) {
							throw new Error('the store is down');
						}

						written.set(key, value);
					},
				},
				onFailure() {
					failures += 1;
				},
			});
			recorder.record(account, {promptTokens: 1, outputTokens: 2, serviceCalls: 0});
			await recorder.flush();
			wallClock.advance(1000);
			recorder.record(account, {promptTokens: 3, outputTokens: 4, serviceCalls: 0});
			isDown = false;
			await recorder.flush();
			assert.equal([...written.keys()], ['usage/60000/e/i/1', 'usage/61000/e/i/1']);
			assert.equal([failures, recorder.windows], [1, 1]);
		});

		it('meters no earlier window when the time of day goes back; guards against two contents under one object key', async () => {
			let timeMs = 60_000;
			const written: string[] = [];
			const recorder = new UsageRecorder({
				owner: () => ({entryId: 'e', incarnation: 'i'}),
				windowMs: 1000,
				wallClock: {nowMs: () => timeMs},
				log: silentLog,
				store: {
					async write(key) {
						written.push(key);
					},
				},
				onFailure() {/* Not used. */},
			});
			for (timeMs of [60_000, 61_000, 60_500]) {
				recorder.record(account, {promptTokens: 1, outputTokens: 2, serviceCalls: 0});
				await recorder.flush();
			}

			assert.equal(written, ['usage/60000/e/i/1', 'usage/61000/e/i/1', 'usage/61000/e/i/2']);
		});
	});
});
