import {brandAs, type EndpointId} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPool} from '../endpoint-pool.js';
import {
	decodeSpeed, encodeSpeed, EngineSpeeds, type MeasuredSpeed,
} from '../engine-speeds.js';

const size = {uncachedTokens: 8000, cachedTokens: 0};

const createEntry = () => {
	const pool = new EndpointPool({clock: {nowMs: () => 0}, entries: () => 1, serviceOf: () => undefined});
	for (const id of ['slow', 'fast']) {
		pool.put({
			id: brandAs<EndpointId>(id), service: 'models', address: '127.0.0.1', port: 1, dataCentre: 'a', slots: 10, isLeaving: false, role: 'prefill', startedAt: 1, heartbeat: 1,
		});
	}

	return {pool, speeds: new EngineSpeeds(pool)};
};

const tell = (measured: readonly MeasuredSpeed[]): MeasuredSpeed[] => measured.map(speed => decodeSpeed(encodeSpeed(speed))).filter(speed => speed !== undefined);

describe('engine speeds shared between entries', () => {
	it('let an entry know a slow engine that it has never used; guards against each entry filling it first', () => {
		const [user, other] = [createEntry(), createEntry()];
		const engine = user.pool.get('slow')!;
		for (let count = 0; count < 20; count += 1) {
			user.speeds.recordPrefill(engine, {size, waitMs: engine.prefillLatency.prefillMs(size), tookMs: 900});
			user.speeds.recordStream(engine, {
				tookMs: 2500, tokens: 250, answerTokens: 250, load: 0.1,
			});
			other.speeds.apply(tell(user.speeds.drain()));
		}

		const [slow, fast] = ['slow', 'fast'].map(id => other.pool.get(id)!);
		assert.ok(slow!.prefillLatency.prefillMs(size) > fast!.prefillLatency.prefillMs(size) * 2);
		assert.ok(slow!.decodeLatency.msPerToken(0.1) > 8);
		assert.ok(Math.abs(slow!.prefillLatency.prefillMs(size) - engine.prefillLatency.prefillMs(size)) < 20);
	});

	it('keep a bounded number of measurements, the newest ones; guards against messages that grow with the load', () => {
		const {pool, speeds} = createEntry();
		for (let tookMs = 1; tookMs <= 500; tookMs += 1) {
			speeds.recordPrefill(pool.get('fast')!, {size, waitMs: 100, tookMs});
		}

		const kept = speeds.drain();
		assert.ok(kept.length <= 20);
		const newest = kept.at(-1);
		assert.is(newest?.kind === 'prefill' ? newest.prefill.tookMs : undefined, 500);
		assert.equal(speeds.drain(), []);
	});

	it('ignore unknown engines and tuples of other versions', () => {
		const {speeds} = createEntry();
		speeds.apply([{endpoint: 'gone', kind: 'prefill', prefill: {size, aheadMs: 0, tookMs: 10}}]);
		for (const tuple of [[], ['slow', 'later', 1, 2, 3, 4], ['slow', 'prefill', -1, 2, 3, 4], ['slow', 'stream', 1, 2, 3], [5, 'stream', 1, 2, 3, 4]]) {
			assert.is(decodeSpeed(tuple), undefined);
		}
	});
});
