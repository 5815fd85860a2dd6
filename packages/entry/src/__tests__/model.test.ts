/* eslint-disable @typescript-eslint/naming-convention -- The fields of the callers' format are in snake case. */
import {describe, it} from '@hawthorncleat/test-kit';
import type {RequestStartParams} from '@hawthorncleat/schema';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import {createRequestError} from '@hawthorncleat/core';
import * as assert from 'uvu/assert';
import {
	addAgent, complete, describeError, sendEnd, sendTokens, startAgain, until, withEntry, type FakeAgent, type World,
} from './fixtures.js';

const nonsense: unknown = {nonsense: true};
const accepted = {accepted: true, queuedTokens: 0} as const;

/** Adds an engine's agent that does `work` after it has accepted a request. */
const addEngine = async (
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

const answerRest = (params: RequestStartParams, peer: Peer): void => {
	const rest = ['one ', 'two ', 'three'].slice(params.delivered.length);
	sendTokens(peer, params, params.delivered.length, rest);
	sendEnd(peer, params, 3);
};

const textOf = async (res: Response): Promise<string> => {
	const answer = await res.json() as {choices: Array<{text: string}>};
	return answer.choices.map(choice => choice.text).join('');
};

/** Chooses in the order of the host list, so that a test knows the first endpoint. */
const inOrder = {chooseEndpoint: <Candidate>(candidates: readonly Candidate[]) => candidates[0]};

describe('model requests', () => {
	it('streams an answer to its explicit end', async () => withEntry(async world => {
		await addEngine(world, answerRest);
		const res = await complete(world, {stream: true, stream_options: {include_usage: true}});
		const text = await res.text();
		const events = text.split('\n\n').filter(Boolean).map(event => event.replace('data: ', ''));
		assert.is(events.at(-1), '[DONE]');
		const chunks = events.slice(0, -1)
			.map(event => JSON.parse(event) as {choices: Array<{text: string}>; usage?: {total_tokens: number}});
		assert.is(chunks.flatMap(chunk => chunk.choices.map(choice => choice.text)).join(''), 'one two three');
		assert.is(chunks.at(-1)!.usage?.total_tokens, 6);
	}));

	describe('frames', () => {
		it('drops duplicates and frames of other attempts, which would repeat text in the answer', async () => withEntry(async world => {
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
				sendTokens(peer, params, 0, ['one ']);
				sendTokens(peer, {...params, attempt: 9}, 1, ['wrong ']);
				sendTokens(peer, params, 1, ['two ', 'three']);
				sendEnd(peer, params, 3);
			});
			assert.is(await textOf(await complete(world)), 'one two three');
		}));

		it('resumes after a gap, which would lose text', async () => withEntry(async world => {
			const resumed: number[] = [];
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
				sendTokens(peer, params, 2, ['three']);
			}, {
				'request.resume'(params, peer) {
					resumed.push(params.position);
					sendTokens(peer, params, 1, ['two ', 'three']);
					sendEnd(peer, params, 3);
					return {resumed: true};
				},
			});
			assert.is(await textOf(await complete(world)), 'one two three');
			assert.equal(resumed, [1]);
		}));

		it('resumes on a new connection when the old one is lost', async () => withEntry(async world => {
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
				setTimeout(() => {
					peer.close();
				}, 10);
			}, {
				'request.resume'(params, peer) {
					sendTokens(peer, params, 1, ['two ', 'three']);
					sendEnd(peer, params, 3);
					return {resumed: true};
				},
			});
			assert.is(await textOf(await complete(world)), 'one two three');
		}));

		it('resumes again when the connection is lost during a resume; guards against a request that fails when a silence is noticed late', async () => withEntry(async world => {
			let resumes = 0;
			await addAgent(world, 'planner-engines', {
				async 'request.start'(_params, peer) {
					setTimeout(() => {
						peer.close();
					}, 10);
					return new Promise(() => {/* The answer is lost. */});
				},
				async 'request.resume'(params, peer) {
					resumes += 1;
					if (resumes === 1) {
						peer.close();
						return {resumed: true};
					}

					sendTokens(peer, params, 0, ['one ', 'two ', 'three']);
					sendEnd(peer, params, 3);
					return {resumed: true};
				},
			});
			assert.is(await textOf(await complete(world)), 'one two three');
			assert.is(resumes, 2);
		}));

		it('does not pass off an answer as whole whose end counts other tokens', async () => withEntry(async world => {
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
				peer.notify('request.frame', {
					requestId: params.requestId,
					attempt: params.attempt,
					position: 1,
					tokens: [],
					end: {
						reason: 'stop', promptTokens: 3, cachedTokens: 0, outputTokens: 2,
					},
				});
			});
			assert.is(await describeError(await complete(world)), '502 endpoint-failed ran retry');
		}));

		it('gives up on an agent that sends more than was asked for, which would grow without bound', async () => withEntry(async world => {
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['a', 'b', 'c']);
			});
			assert.is(await describeError(await complete(world, {max_tokens: 2})), '502 endpoint-failed ran retry');
		}));
	});

	describe('other endpoints', () => {
		it('continues elsewhere with the tokens delivered when an agent stops halfway', async () => withEntry(async world => {
			const stuck = await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
			});
			const second = await addEngine(world, answerRest);
			assert.is(await textOf(await complete(world)), 'one two three');
			assert.equal(second.starts.map(({attempt, delivered}) => ({attempt, delivered})), [{attempt: 2, delivered: ['one ']}]);
			assert.is(stuck.starts.length, 1);
		}, inOrder));

		it('tells a streaming caller with an error event that the answer is not whole', async () => withEntry(async world => {
			await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
			});
			const res = await complete(world, {stream: true});
			const text = await res.text();
			assert.match(text, /event: error\ndata: .*"endpoint-timeout".*"ran":"ran"/);
			assert.not.match(text, 'DONE');
		}));

		it('refuses a request at once, as not run, when all agents are full', async () => withEntry(async world => {
			const full = (): never => {
				throw createRequestError('full', {
					code: 'overloaded', ran: 'not-run', status: 429, retryAfterMs: 2500,
				});
			};

			await addAgent(world, 'planner-engines', {'request.start': full});
			const res = await complete(world);
			assert.is(res.headers.get('retry-after'), '3');
			assert.is(await describeError(res), '429 overloaded not-run retry');
		}));

		it('sends nothing new to an agent that is leaving', async () => withEntry(async world => {
			const agent = await addEngine(world, answerRest);
			agent.leave();
			await new Promise(resolve => {
				setTimeout(resolve, 60);
			});
			assert.is(await describeError(await complete(world)), '503 no-endpoint not-run retry');
			assert.is(agent.starts.length, 0);
		}));

		it('does not trust an answer to request.start that is nonsense', async () => withEntry(async world => {
			await addAgent(world, 'planner-engines', {'request.start': () => nonsense as never});
			assert.is(await describeError(await complete(world)), '502 endpoint-failed unknown retry');
		}));
	});

	describe('crash suspects', () => {
		it('stops a request after it has crashed two engines', async () => withEntry(async world => {
			const crash = ({requestId, attempt}: RequestStartParams, peer: Peer): void => {
				peer.notify('request.failed', {
					requestId, attempt, code: 'engine-crashed', ran: 'ran', crash: true,
				});
			};

			const engines = [];
			for (let count = 0; count < 3; count++) {
				engines.push(await addEngine(world, crash));
			}

			assert.is(await describeError(await complete(world)), '422 request-quarantined ran retry');
			assert.is(await describeError(await complete(world)), '422 request-quarantined not-run retry');
			assert.is(engines.flatMap(engine => engine.starts).length, 2);
			assert.equal(engines.flatMap(engine => engine.starts.map(start => start.suspect)), [false, true]);
		}, inOrder));
	});

	describe('callers', () => {
		it('cancels the work at the agent when the caller leaves', async () => withEntry(async world => {
			const cancelled: string[] = [];
			const agent = await addEngine(world, (params, peer) => {
				sendTokens(peer, params, 0, ['one ']);
			}, {
				'request.cancel'({requestId}) {
					cancelled.push(requestId);
				},
			});
			const controller = new AbortController();
			const res = await complete(world, {stream: true}, {signal: controller.signal});
			await res.body!.getReader().read();
			controller.abort();
			await until(() => cancelled.length > 0, 'the cancellation');
			assert.equal(cancelled, agent.starts.map(start => start.requestId));
		}));

		it('drops a caller that does not read, whose answer would fill the memory', async () => withEntry(async world => {
			let isCancelled = false;
			let position = 0;
			await addEngine(world, (params, peer) => {
				const timer = setInterval(() => {
					sendTokens(peer, params, position, ['x'.repeat(50_000)]);
					position += 1;
					// The whole answer stays below the longest one that the entry accepts.
					if (isCancelled || position === 150) {
						clearInterval(timer);
					}
				}, 1);
			}, {
				'request.cancel'() {
					isCancelled = true;
				},
			});
			const res = await complete(world, {stream: true});
			await until(() => isCancelled, 'the cancellation');
			const metrics = await fetch(`http://127.0.0.1:${world.entry.adminPort}/metrics`);
			assert.match(await metrics.text(), 'code="caller-left"');
			await res.body!.cancel().catch(() => {/* It was cut off. */});
		}, {timings: {maxUnsentBytes: 200_000, progressLimitMs: 2000, firstReconnectMs: 10}}));

		it('lets a running answer finish during a drain and refuses a new one', async () => withEntry(async world => {
			let finish = (): void => {/* Set when the request has arrived. */};
			const agent = await addEngine(world, (params, peer) => {
				finish = () => {
					answerRest(params, peer);
				};
			});
			const running = complete(world);
			await until(() => agent.starts.length > 0, 'the request');
			const drained = world.entry.drain();
			assert.is(await describeError(await complete(world)), '503 draining not-run retry');
			setTimeout(() => {
				finish();
			}, 5);
			assert.is(await textOf(await running), 'one two three');
			await drained;
			const [figures] = world.events;
			assert.is(figures, '[{"clientAccount":"haugland","promptTokens":3,"outputTokens":3,"serviceCalls":0}]');
		}));

		it('drains at most for the limit, without which one endless answer would keep the entry', async () => withEntry(async world => {
			const drainLimitMs = 200;
			const entry = await startAgain(world, {drainLimitMs}, {timings: {progressLimitMs: 60_000, firstReconnectMs: 10}});
			const agent = await addEngine(world, () => {/* Never answers. */}, {'request.resume': () => ({resumed: true})});
			await until(() => agent.peers.size === 2, 'both entries to connect');
			const caller = new AbortController();
			let isAnswered = false;
			const running = complete({...world, entry}, {}, {signal: caller.signal}).catch(() => undefined).finally(() => {
				isAnswered = true;
			});
			await until(() => agent.starts.length > 0, 'the request');
			const startMs = performance.now();
			const limit = new Promise(resolve => {
				setTimeout(resolve, 10 * drainLimitMs, false);
			});
			assert.ok(await Promise.race([entry.drain().then(() => true), limit]), 'the drain did not end');
			assert.not(isAnswered);
			// A timer of Node may fire a millisecond early.
			assert.ok(performance.now() - startMs >= drainLimitMs - 1, 'the drain ended before its limit');
			caller.abort();
			await running;
		}));

		it('sends a request that one agent refuses on with the time that is left for its first token', async () => withEntry(async world => {
			const waitMs = 60;
			const refusing = await addAgent(world, 'planner-engines', {
				async 'request.start'() {
					await new Promise(resolve => {
						setTimeout(resolve, waitMs);
					});
					throw createRequestError('the first token would be late', {code: 'overloaded', ran: 'not-run', retryAfterMs: 100});
				},
			});
			const taking = await addEngine(world, answerRest);
			assert.is(await textOf(await complete(world)), 'one two three');
			const [before, after] = [refusing.starts[0]!, taking.starts[0]!].map(({firstTokenInMs}) => firstTokenInMs);
			assert.ok(before! - after! >= waitMs - 1, `${before} ms, then ${after} ms`);
		}, inOrder));
	});
});
