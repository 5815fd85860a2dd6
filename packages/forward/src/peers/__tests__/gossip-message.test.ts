import {
	brandAs, priorityLevelCount, type Fingerprint, type SegmentKey,
} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {decodeMessage, encodeMessage, type GossipMessage} from '../gossip-message.js';

const message: GossipMessage = {
	from: 'e1',
	configVersion: 7,
	phase: {phase: 'waiting', stoppingMs: 120},
	roleChanges: [{endpoint: 'i-1', role: 'decode'}],
	load: {
		running: [{
			endpoint: 'i-1', requests: 3, late: 1, tokens: 9000,
		}],
		prefills: [{endpoint: 'i-2', work: [{level: 0, ms: 30}, {level: 9, ms: 400}]}],
		sent: [{
			endpoint: 'i-2', level: 4, tokens: 800, cachedTokens: 5000, outputTokens: 60, segments: [{id: 'a', tokens: 5000}], isRefused: false,
		}],
		speeds: [
			{endpoint: 'i-2', kind: 'prefill', prefill: {size: {uncachedTokens: 800, cachedTokens: 5000}, aheadMs: 20, tookMs: 90}},
			{
				endpoint: 'i-1', kind: 'stream', stream: {
					tookMs: 900, tokens: 250, answerTokens: 260, load: 0.25,
				},
			},
		],
	},
	crashes: [{
		fingerprint: brandAs<Fingerprint>('f'), endpoint: 'i-3', ageMs: 50, crashes: 2,
	}],
	departures: [{
		id: 'i-4', startedAt: 1_700_000_000_000, kind: 'removed', heartbeat: 12, ageMs: 300,
	}],
	segments: {
		crashes: [], completed: [], quarantines: [{
			segment: brandAs<SegmentKey>('models/x'), companions: [], refutedAgeMs: 10, remainingMs: 500,
		}],
	},
	requests: {
		quarantines: [{
			fingerprint: brandAs<Fingerprint>('f'), count: 2, trials: 1, ageMs: 70_000, remainingMs: -10_000, heldMs: 400,
		}],
		completed: [{fingerprint: brandAs<Fingerprint>('g'), ageMs: 20}],
	},
	streams: [{service: 'models', softwareVersion: 'v1', ids: ['9c41d07be2a35f68']}],
	usage: {owner: 'e1', windows: [[4, {planning: 12}]]},
} as unknown as GossipMessage;

/** All numbers within a value. */
const numbersIn = (value: unknown): number[] => {
	if (typeof value === 'number') {
		return [value];
	}

	return typeof value === 'object' && value !== null ? Object.values(value).flatMap(item => numbersIn(item)) : [];
};

const checkDecoded = (text: string): void => {
	const decoded = decodeMessage(text);
	if (!decoded) {
		return;
	}

	const {running, prefills = [], sent} = decoded.load;
	assert.ok(numbersIn(decoded.requests).every(number => Number.isFinite(number)), text);
	assert.ok(numbersIn([running, prefills, sent, decoded.phase, decoded.crashes, decoded.departures]).every(number => Number.isFinite(number) && number >= 0), text);
	assert.ok([...sent, ...prefills.flatMap(({work}) => work)].every(({level}) => Number.isInteger(level) && level < priorityLevelCount), text);
};

describe('a gossip message', () => {
	it('arrives as it was sent, but without the last segment of a prompt, which no other request shares', () => {
		const decoded = decodeMessage(encodeMessage(message))!;
		assert.equal(decoded.load.sent[0]!.segments, []);
		assert.equal({...decoded, load: {...decoded.load, sent: message.load.sent}}, message);
	});

	it('of an entry of an earlier version has neither prefills nor phase', () => {
		const decoded = decodeMessage(JSON.stringify({
			from: 'e1', config: 1, changing: [], running: [['i-1', 1, 0, 10]], sent: [['i-1', 0, 10, 5, [], 0]],
		}))!;
		assert.is(decoded.load.prefills, undefined);
		assert.equal(decoded.phase, {phase: 'ready', stoppingMs: 0});
		assert.is(decoded.load.sent[0]!.cachedTokens, 0);
		assert.equal(decoded.departures, []);
	});

	it('of any other content never throws and holds only valid amounts; guards against an entry that one damaged or foreign datagram ends', () => {
		const field = fc.jsonValue({maxDepth: 4});
		fc.assert(fc.property(fc.record({
			from: fc.oneof(fc.string(), field),
			config: fc.oneof(fc.nat(), field),
			phase: field,
			changing: fc.array(field),
			running: fc.array(field),
			prefills: field,
			sent: fc.array(field),
			crashes: field,
			departures: fc.oneof(field, fc.array(fc.tuple(field, field, fc.constantFrom('removed', 'registered', 'answer'), field, field))),
			segments: field,
			usage: field,
		}), value => {
			checkDecoded(JSON.stringify(value));
		}), {seed: 37, numRuns: 2000});
		fc.assert(fc.property(fc.string(), checkDecoded), {seed: 38, numRuns: 1000});
	});

	it('with one changed value keeps what is valid; guards against a level or an amount that a later version sends', () => {
		const text = encodeMessage(message);
		const values = [...text.matchAll(/(?<=[,:[])(?:\d+|"[^"]*")(?=[,\]}])/g)];
		fc.assert(fc.property(fc.nat(values.length - 1), fc.constantFrom('null', '-1', '1e400', '42', '[]', '{}', '"x"', 'true'), (index, changed) => {
			const {index: at, 0: old} = values[index]!;
			checkDecoded(text.slice(0, at) + changed + text.slice(at + old.length));
		}), {seed: 39, numRuns: 1000});
		assert.ok(values.length > 20);
	});

	it('that is cut off counts as lost', () => {
		const text = encodeMessage(message);
		for (let length = 0; length < text.length; length += 7) {
			assert.is(decodeMessage(text.slice(0, length)), undefined);
		}
	});
});
