import type {LoadReport, RequestStartParams} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import * as assert from 'uvu/assert';
import {
	addAgent, complete, describeError, sendEnd, sendTokens, withEntry, type FakeAgent, type World,
} from './fixtures.js';

const accepted = {accepted: true, queuedTokens: 0} as const;
const kv = {source: 'http://127.0.0.1:1', handle: 'kv-1'};

const addEngine = async (world: World, role: LoadReport['role'], handlers: Handlers<Peer>): Promise<FakeAgent> => {
	const agent = await addAgent(world, 'planner-engines', handlers);
	for (const peer of agent.peers) {
		peer.notify('load.report', {
			sequence: 1, role, running: 0, waiting: 0, waitingTokens: 0, freeTokens: 100_000, prefixes: [], leaving: false,
		});
	}

	return agent;
};

const soon = (work: () => void): typeof accepted => {
	setTimeout(work, 2);
	return accepted;
};

const addDecoder = async (world: World): Promise<FakeAgent> => addEngine(world, 'decode', {
	'request.start': (params, peer) => soon(() => {
		sendTokens(peer, params, 0, ['one']);
		sendEnd(peer, params, 1);
	}),
});

const addPrefiller = async (world: World, work: (params: RequestStartParams, peer: Peer) => void): Promise<{count: number}> => {
	const seen = {count: 0};
	await addEngine(world, 'prefill', {
		'request.prefill'(params, peer) {
			seen.count += 1;
			return soon(() => {
				work(params, peer);
			});
		},
	});
	return seen;
};

const sendHandle = ({requestId, attempt}: RequestStartParams, peer: Peer, reason: 'prefilled' | 'stop' = 'prefilled'): void => {
	peer.notify('request.frame', {
		requestId, attempt, position: 0, tokens: [], end: {
			reason, promptTokens: 2, cachedTokens: 0, outputTokens: 0, ...(reason === 'prefilled' && {kv}),
		},
	});
};

const textOf = async (res: Response): Promise<string | undefined> => {
	const {choices} = await res.json() as {choices: Array<{text: string}>};
	return choices[0]?.text;
};

describe('requests over a prefill and a decode engine', () => {
	it('pass the handle on to the decode engine; guards against prompts that are computed twice', async () => withEntry(async world => {
		const decoder = await addDecoder(world);
		const prefiller = await addPrefiller(world, sendHandle);
		assert.is(await textOf(await complete(world)), 'one');
		assert.equal([prefiller.count, decoder.starts.length, decoder.starts[0]?.kv], [1, 1, kv]);
	}));

	it('are computed by the decode engine when the prefill fails; guards against requests lost with a prefill engine', async () => withEntry(async world => {
		const decoder = await addDecoder(world);
		const prefiller = await addPrefiller(world, ({requestId, attempt}, peer) => {
			peer.notify('request.failed', {
				requestId, attempt, code: 'endpoint-failed', ran: 'unknown', crash: false,
			});
		});
		assert.is(await textOf(await complete(world)), 'one');
		assert.equal([prefiller.count, decoder.starts.length, decoder.starts[0]?.kv], [1, 1, undefined]);
	}));

	it('do not take an answer for a handle; guards against an empty answer from an engine of another role', async () => withEntry(async world => {
		const decoder = await addDecoder(world);
		await addPrefiller(world, (params, peer) => {
			sendHandle(params, peer, 'stop');
		});
		assert.is(await textOf(await complete(world)), 'one');
		assert.is(decoder.starts[0]?.kv, undefined);
	}));

	it('are refused as not run without a decode engine; guards against a prompt computed for nobody (I10)', async () => withEntry(async world => {
		const prefiller = await addPrefiller(world, sendHandle);
		assert.is(await describeError(await complete(world)), '503 no-endpoint not-run retry');
		assert.is(prefiller.count, 0);
	}));
});
