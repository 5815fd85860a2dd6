/**
 * An engine's agent under a test's control, for the tests of model requests.
 */
import type {RequestStartParams} from '@hawthorncleat/schema';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import {
	addAgent, sendEnd, sendTokens, type FakeAgent, type World,
} from './fixtures.js';

export const nonsense: unknown = {nonsense: true};
export const accepted = {accepted: true, queuedTokens: 0} as const;

/** Adds an engine's agent that does `work` after it has accepted a request. */
export const addEngine = async (
	world: World,
	work: (params: RequestStartParams, peer: Peer) => void,
	others: Handlers<Peer> = {},
): Promise<FakeAgent> => addAgent(world, 'planner-engines', {
	'request.start'(params, peer) {
		setTimeout(() => {
			work(params, peer);
		}, 2);
		return accepted;
	},
	...others,
});

export const answerRest = (params: RequestStartParams, peer: Peer): void => {
	const rest = ['one ', 'two ', 'three'].slice(params.delivered.length);
	sendTokens(peer, params, params.delivered.length, rest);
	sendEnd(peer, params, 3);
};

export const textOf = async (res: Response): Promise<string> => {
	const answer = await res.json() as {choices: Array<{text: string}>};
	return answer.choices.map(choice => choice.text).join('');
};

/** Chooses in the order of the host list, so that a test knows the first endpoint. */
export const inOrder = {chooseEndpoint: <Candidate>(candidates: readonly Candidate[]) => candidates[0]};
