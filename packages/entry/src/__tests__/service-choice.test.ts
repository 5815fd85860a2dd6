import type {ServiceCallResult} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addAgent, send, until, withEntry, type FakeAgent, type World,
} from './fixtures.js';

const report = {
	sequence: 1, role: 'service', running: 0, waiting: 0, waitingTokens: 0, freeTokens: 0, prefixes: [] as string[], leaving: false, maxRunning: 16,
} as const;

type Desk = FakeAgent & {readonly answers: Array<() => void>};

/** A desk that has reported idle and holds each call until the test answers it. */
const addDesk = async (world: World, dataCentre: string): Promise<Desk> => {
	const answers: Array<() => void> = [];
	const agent = await addAgent(world, 'desk', {
		'service.call': async () => new Promise<ServiceCallResult>(resolve => {
			answers.push(() => {
				resolve({status: 200, headers: {}, bodyBase64: ''});
			});
		}),
	}, dataCentre);
	for (const peer of agent.peers) {
		peer.notify('load.report', {...report, prefixes: []});
	}

	return {...agent, answers};
};

/** Waits until the entry has heard from both desks. */
const settle = async (): Promise<void> => {
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
};

describe('choice of a service endpoint', () => {
	it('weighs own running calls against distance; guards against a near endpoint that takes all calls of its data centre', async () => withEntry(async world => {
		const far = await addDesk(world, 'dc-2');
		const near = await addDesk(world, 'dc-1');
		await settle();
		const calls = [];
		for (let count = 1; count <= 4; count++) {
			calls.push(send(world, '/stock'));
			await until(() => near.calls.length + far.calls.length === count, 'the call');
		}

		assert.equal([near.calls.length, far.calls.length], [2, 2]);
		for (const answer of [...near.answers, ...far.answers]) {
			answer();
		}

		await Promise.all(calls);
		calls.push(send(world, '/stock'));
		await until(() => near.calls.length === 3, 'the call at the near endpoint, where nothing runs any more');
		near.answers.at(-1)!();
		await Promise.all(calls);
	}));
});
