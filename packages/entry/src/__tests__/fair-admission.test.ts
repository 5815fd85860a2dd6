import {setTimeout as sleep} from 'node:timers/promises';
import type {LoadReport} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addAgent, complete, describeError, sendEnd, until, withEntry, type World,
} from './fixtures.js';

const otherKey = 'key-of-mavuno';
const report: LoadReport = {
	sequence: 1, role: 'mixed', running: 0, waiting: 0, waitingTokens: 0, freeTokens: 100_000, prefixes: [], leaving: false,
};

const addEngine = async (world: World) => {
	const agent = await addAgent(world, 'planner-engines', {
		'request.start'(params, peer) {
			setImmediate(() => {
				sendEnd(peer, params, 0);
			});
			return {accepted: true, queuedTokens: 0};
		},
	});
	await until(() => agent.peers.size > 0, 'the connection');
	for (const peer of agent.peers) {
		peer.notify('load.report', report);
	}
};

const askFor = async (world: World, key: string, count: number): Promise<Response[]> =>
	Promise.all(Array.from({length: count}, async () => complete(world, {}, {headers: {authorization: `Bearer ${key}`}})));

/** A burst of one account, a second account with one request, and the next request of each when the shares are known. */
const burst = async (world: World): Promise<[Response, Response]> => {
	world.keys.set(otherKey, 'active');
	world.otherAccounts.set(otherKey, {kind: 'client-account', name: 'mavuno', weight: 1});
	await addEngine(world);
	await askFor(world, 'key-of-haugland', 60);
	await askFor(world, otherKey, 1);
	// The shares are worked out at most twice a second.
	await sleep(600);
	const [other] = await askFor(world, otherKey, 1);
	const [large] = await askFor(world, 'key-of-haugland', 1);
	return [other!, large!];
};

describe('shares of the accounts at the entry', () => {
	const random = (): number => 0.99;
	// One engine decodes about 100 tokens/s; 60 requests of 128 expected tokens within a second ask for far more.
	const engineRates = {
		prefillTokensPerSecond: 1000, stepMs: 40, stepMsPerRequest: 5, chunkTokens: 16, maxRunning: 4,
	};

	it('hold back the account over its share only; guards against a burst that takes the places of the others', async () => withEntry(async world => {
		world.engineRates = engineRates;
		const [other, large] = await burst(world);
		assert.equal([other.status, large.status], [200, 429]);
		assert.is(await describeError(large), '429 overloaded not-run retry');
	}, {random}));

	it('hold back nobody while the speeds of the engines are not configured; guards against refusals on a guess', async () => withEntry(async world => {
		const answers = await burst(world);
		assert.equal(answers.map(({status}) => status), [200, 200]);
	}, {random}));
});
