import {performance} from 'node:perf_hooks';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {pauseLimitMs} from '../pause-guard.js';
import {
	FakeEntry, until, withAgent, writeEnd, writeToken, type FakeEngine,
} from './fakes.js';

/** A clock that a test moves forward, as a pause of the process does. */
const createSteppedClock = () => {
	let skippedMs = 0;
	return {
		nowMs: () => performance.now() + skippedMs,
		skip(durationMs: number) {
			skippedMs += durationMs;
		},
	};
};

const holdAll = (engine: FakeEngine): void => {
	engine.generate = (_params, res) => {
		writeToken(res, 0);
	};
};

const refusalOf = async (started: Promise<unknown>): Promise<string> => started.then(
	() => 'accepted',
	(error: unknown) => `${(error as {code: string}).code} ${(error as {ran: string}).ran}`,
);

describe('an agent that was paused', () => {
	// Guards against work at a host that began to leave during the pause (I12).
	it('refuses what comes on the connections of that time, and takes work on a new one', async () => {
		const clock = createSteppedClock();
		await withAgent({}, async ({agent, entry, signal}) => {
			clock.skip(pauseLimitMs + 200);
			assert.is(await refusalOf(entry.start('r1')), 'agent-paused not-run');
			await entry.peer.closed;
			const again = await new FakeEntry().connect(agent.internalPort, signal);
			assert.is(await refusalOf(again.start('r1', {attempt: 2})), 'accepted');
			await until(() => again.hasEnd('r1'));
		}, undefined, {agentClock: clock});
	});

	// Guards against a queue that is worked off for entries that sent the requests elsewhere long ago.
	it('gives back what waits and goes on with what runs', async () => {
		const clock = createSteppedClock();
		await withAgent({maxRunning: 1}, async ({entry, engine}) => {
			holdAll(engine);
			await entry.start('r1');
			await until(() => entry.frames.length > 0);
			await entry.start('r2');
			clock.skip(pauseLimitMs + 200);
			writeEnd(engine.open.get('r1/1')!, 1);
			await until(() => entry.failures.length > 0 && entry.hasEnd('r1'));
			const [{requestId, code, ran}] = entry.failures as [typeof entry.failures[number]];
			assert.equal([requestId, code, ran], ['r2', 'agent-paused', 'not-run']);
			assert.equal(engine.started.map(params => params.requestId), ['r1/1']);
		}, undefined, {agentClock: clock});
	});

	it('takes work after a gap within the limit, so that a busy moment costs nothing', async () => {
		const clock = createSteppedClock();
		await withAgent({}, async ({entry}) => {
			clock.skip(pauseLimitMs - 1000);
			assert.is(await refusalOf(entry.start('r1')), 'accepted');
		}, undefined, {agentClock: clock});
	});
});
