import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	RequestFleet, type Disruption, type FleetOptions, type FleetResult,
} from './request-fleet.js';

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
/** The users' rule: so many retries may reach endpoints once the third crash is known. */
const maxRetries = 3;
const dayMs = 110_000;
const all = (count: number): number[] => Array.from({length: count}, (_, index) => index);
const half = (count: number): number[] => all(count).slice(0, Math.ceil(count / 2));

/** Restarts the entries one after the other, again and again. */
const inTurn = (count: number, {fromMs, gapMs, rounds = 1}: {readonly fromMs: number; readonly gapMs: number; readonly rounds?: number}): Disruption[] =>
	Array.from({length: rounds * count}, (_, index) => ({
		atMs: fromMs + (index * gapMs), kind: 'restart', entries: [index % count], forMs: 1000,
	}));

type Form = Pick<FleetOptions, 'disruptions' | 'entries' | 'requestsPerSecond'>;

const forms: Readonly<Record<string, Form>> = {
	'three entries are restarted in turn': {entries: 3, requestsPerSecond: 1, disruptions: inTurn(3, {fromMs: 10_000, gapMs: 11_000})},
	'entries are restarted in turn without a pause, three times': {entries: 6, requestsPerSecond: 10, disruptions: inTurn(6, {fromMs: 8000, gapMs: 1500, rounds: 3})},
	'entries are restarted in turn while the first crashes happen': {entries: 4, requestsPerSecond: 2, disruptions: inTurn(4, {fromMs: 1000, gapMs: 1200, rounds: 2})},
	'all entries are killed at once, twice': {
		entries: 6, requestsPerSecond: 5, disruptions: [20_000, 70_000].map(atMs => ({
			atMs, kind: 'restart', entries: all(6), forMs: 2000,
		})),
	},
	'half of the entries are paused while the first crashes happen': {
		entries: 6, requestsPerSecond: 3, disruptions: [{
			atMs: 200, kind: 'pause', entries: half(6), forMs: 9000,
		}],
	},
	'half of the entries are cut off while the quarantine begins': {
		entries: 6, requestsPerSecond: 3, disruptions: [{
			atMs: 600, kind: 'cut', entries: half(6), forMs: 6000,
		}],
	},
	'a crowd sends the request, and returns when its quarantine ends': {entries: 3, requestsPerSecond: 60, disruptions: []},
	'a large fleet is restarted in turn beside a crowd': {entries: 40, requestsPerSecond: 40, disruptions: inTurn(40, {fromMs: 10_000, gapMs: 1000})},
};

const play = (form: Form, seed: number, changes: Partial<FleetOptions> = {}): FleetResult => new RequestFleet({
	...form, random: createSeededRandom(seed), endMs: dayMs, ...changes,
}).play();

describe('a request that crashes each endpoint that runs it', () => {
	for (const [name, form] of Object.entries(forms)) {
		it(`reaches three more endpoints at most while ${name}; guards against entries that do not know of the crashes`, () => {
			for (const seed of seeds) {
				const {countedRetries, crashesMs} = play(form, seed);
				assert.ok(countedRetries <= maxRetries, `seed ${seed}: ${countedRetries} retries; crashes at ${crashesMs.join(' ')}`);
			}
		});
	}

	it('costs the store a few writes for each quarantine; guards against a write for each refusal', () => {
		for (const seed of seeds) {
			const {storeWrites, crashesMs} = play(forms['three entries are restarted in turn']!, seed);
			assert.ok(storeWrites >= 1 && storeWrites <= crashesMs.length, `seed ${seed}: ${storeWrites} writes`);
		}
	});

	it('is let through again at entries that do not tell each other; shows that the play finds the fault', () => {
		const retries = seeds.map(seed => play({...forms['three entries are restarted in turn']!}, seed, {areNewsSent: false, areRowsKept: false}).countedRetries);
		assert.ok(retries.some(count => count > maxRetries), retries.join(' '));
	});
});

describe('a request whose endpoints have been repaired', () => {
	it('is served by all entries after the first run that completes; guards against a request of which one run is let through each ten seconds', () => {
		for (const seed of seeds) {
			const requestsPerSecond = 20;
			const {completed} = play({entries: 6, requestsPerSecond, disruptions: []}, seed, {deadlyUntilMs: 30_000});
			// The quarantine of a minute began in the first seconds.
			assert.ok(completed > (dayMs - 70_000) / 1000 * requestsPerSecond * 0.8, `seed ${seed}: ${completed} completed`);
		}
	});
});
