import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {
	brandAs, claimKey, type ActionId, type ClaimId, type ClaimResult, type ClaimRow, type EntryId,
} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createClaimWriter, type ClaimWriter} from '../index.js';
import {withPlatform, type Fixture} from './with-platform.js';

const clock = {nowMs: () => performance.now()};
const answer = {status: 200, headers: {}, bodyBase64: 'b2s='};

const createWriter = ({table, signal}: Fixture, entryId = 'e1', claimWaitMs = 10_000): ClaimWriter => createClaimWriter({
	table, clock, makeId: randomUUID, entryId: brandAs<EntryId>(entryId), claimWaitMs, completionBatchMs: 20, releaseRetryPauseMs: 20, maxPendingReleases: 3,
}, signal);

const request = (name: string, digest = 'd1') => ({actionId: brandAs<ActionId>(name), digest});

const expectGranted = (result: ClaimResult): ClaimId => {
	assert.is(result.kind, 'granted');
	return (result as {claimId: ClaimId}).claimId;
};

const readState = async ({table}: Fixture, name: string): Promise<string | undefined> => {
	const row = await table.read(claimKey(brandAs<ActionId>(name)));
	return (row?.value as ClaimRow | undefined)?.state;
};

const waitForState = async (fixture: Fixture, name: string, state: string): Promise<void> => {
	for (let attempt = 0; await readState(fixture, name) !== state; attempt += 1) {
		assert.ok(attempt < 200, `row did not become ${state}`);
		await delay(10);
	}
};

describe('claim writer', () => {
	it('commits claims of different actions in one transaction', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		const results = await Promise.all(Array.from({length: 20}, async (_, index) => writer.claim(request(`a${index}`))));
		assert.ok(results.every(result => result.kind === 'granted'));
		assert.is(fixture.platform.history.length, 1);
	}));

	it('grants an action to one of several claimants', async () => withPlatform(async fixture => {
		const writers = [createWriter(fixture), createWriter(fixture, 'e2')];
		const results = await Promise.all([...writers, ...writers].map(async writer => writer.claim(request('a'))));
		assert.equal(results.map(result => result.kind).toSorted(), ['granted', 'in-doubt', 'in-doubt', 'in-doubt']);
	}));

	it('grants the other claims of a batch with a conflict', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		await writer.claim(request('a'));
		const results = await Promise.all([writer.claim(request('a')), writer.claim(request('b')), writer.claim(request('a', 'd2'))]);
		assert.equal(results.map(result => result.kind), ['in-doubt', 'granted', 'key-reused']);
	}));

	it('returns the recorded answer after completion', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		const claimId = expectGranted(await writer.claim(request('a')));
		assert.ok(await writer.complete(claimId, answer));
		assert.equal(await createWriter(fixture, 'e2').claim(request('a')), {kind: 'done', answer});
	}));

	it('returns an answer that is still being recorded; guards against "in doubt" for a call that is repeated at once', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		const completion = writer.complete(expectGranted(await writer.claim(request('a'))), answer);
		assert.equal(await writer.claim(request('a')), {kind: 'done', answer});
		assert.equal(await writer.claim(request('a', 'd2')), {kind: 'key-reused'});
		assert.ok(await completion);
		assert.equal(await writer.claim(request('a')), {kind: 'done', answer});
	}));

	it('lets a released action be claimed again, once', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		const first = expectGranted(await writer.claim(request('a')));
		assert.ok(await writer.release(first));
		const writers = [writer, createWriter(fixture, 'e2')];
		const results = await Promise.all(writers.map(async other => other.claim(request('a'))));
		assert.equal(results.map(result => result.kind).toSorted(), ['granted', 'in-doubt']);
		assert.not.ok(results.some(result => result.kind === 'granted' && result.claimId === first));
	}));

	it('resolves claims, completions and releases whose responses were lost', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture);
		fixture.platform.setFaults({loseTableAnswers: 1});
		const claimId = expectGranted(await writer.claim(request('a')));
		const second = expectGranted(await writer.claim(request('b')));
		fixture.platform.setFaults({loseTableAnswers: 1});
		assert.ok(await writer.complete(claimId, answer));
		fixture.platform.setFaults({loseTableAnswers: 1});
		assert.ok(await writer.release(second));
		assert.equal([await readState(fixture, 'a'), await readState(fixture, 'b')], ['done', 'released']);
	}));

	it('reports unavailable while the table is down and leaves the action claimable', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture, 'e1', 300);
		fixture.platform.setFaults({tableDown: true});
		const result = await writer.claim(request('a'));
		assert.is(result.kind, 'unavailable');
		fixture.platform.setFaults({});
		await waitForState(fixture, 'a', 'released');
		expectGranted(await createWriter(fixture, 'e2').claim(request('a')));
	}));

	it('rejects claims at once while too many releases are pending', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture, 'e1', 300);
		fixture.platform.setFaults({tableDown: true});
		await Promise.all(['a', 'b', 'c'].map(async name => writer.claim(request(name))));
		await delay(300);
		const result = await Promise.race([writer.claim(request('d')), nextTurn('too late')]);
		assert.is((result as ClaimResult).kind, 'unavailable');
		fixture.platform.setFaults({});
		await waitForState(fixture, 'c', 'released');
		assert.is(await readState(fixture, 'd'), undefined);
	}));

	it('releases a claim that a slow table writes after the time limit of the claim', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture, 'e1', 300);
		fixture.platform.setFaults({tableSlowMs: 800});
		const result = await writer.claim(request('a'));
		assert.is(result.kind, 'unavailable');
		fixture.platform.setFaults({});
		await waitForState(fixture, 'a', 'released');
		const states = fixture.platform.history.flatMap(record => record.kind === 'write' ? (record.puts[0]!.value as ClaimRow).state : []);
		assert.equal(states, ['claimed', 'released']);
	}));

	it('does not release the claim of another entry that was written first', async () => withPlatform(async fixture => {
		const writer = createWriter(fixture, 'e1', 300);
		fixture.platform.setFaults({tableDown: true});
		await writer.claim(request('a'));
		const other = createWriter(fixture, 'e2').claim(request('a'));
		fixture.platform.setFaults({});
		const result = await other;
		await delay(300);
		const state = await readState(fixture, 'a');
		assert.equal([result.kind, state], ['granted', 'claimed']);
	}));
});
