/* eslint-disable @typescript-eslint/naming-convention -- The fields of the callers' format are in snake case. */
import {describe, it} from '@hawthorncleat/test-kit';
import type {RequestStartParams} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';
import {createRequestError} from '@hawthorncleat/core';
import * as assert from 'uvu/assert';
import {
	addAgent, complete, describeError, sendEnd, sendTokens, withEntry, type FakeAgent, type World,
} from './fixtures.js';
import {
	accepted, nonsense, addEngine, answerRest, textOf, inOrder,
} from './model-fixtures.js';

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

		describe('a stalled agent', () => {
			const stallMs = 500;

			/** Writes one token, nothing for longer than the limit for progress, and then the rest. */
			const stallOnce = (params: RequestStartParams, peer: Peer): void => {
				sendTokens(peer, params, 0, ['one ']);
				setTimeout(() => {
					sendTokens(peer, params, 1, ['two ', 'three']);
					sendEnd(peer, params, 3);
				}, stallMs);
			};

			it('goes on while there is no other one; guards against an answer that is cut although its engine is sound', async () => withEntry(async world => {
				await addEngine(world, stallOnce);
				assert.is(await textOf(await complete(world)), 'one two three');
			}));

			it('goes on while no retry is left; guards against an answer that is cut because the retry budget is asked too late', async () => withEntry(async world => {
				let areFull = true;
				const start = (work: typeof answerRest) => (params: RequestStartParams, peer: Peer) => {
					if (areFull) {
						throw createRequestError('full', {code: 'overloaded', ran: 'not-run', status: 429});
					}

					setTimeout(work, 2, params, peer);
					return accepted;
				};

				await addAgent(world, 'planner-engines', {'request.start': start(stallOnce)});
				const other = await addAgent(world, 'planner-engines', {'request.start': start(answerRest)});
				// Each of these uses up more of the retry budget than it adds.
				for (let requests = 0; requests < 12; requests++) {
					await complete(world);
				}

				areFull = false;
				const startsBefore = other.starts.length;
				assert.is(await textOf(await complete(world)), 'one two three');
				assert.is(other.starts.length, startsBefore);
			}, inOrder));

			it('goes on while the other one is leaving; guards against an answer that is cut before its next engine is known', async () => withEntry(async world => {
				await addEngine(world, stallOnce);
				const other = await addEngine(world, answerRest);
				other.leave();
				await new Promise(resolve => {
					setTimeout(resolve, 60);
				});
				assert.is(await textOf(await complete(world)), 'one two three');
				assert.is(other.starts.length, 0);
			}, inOrder));
		});

		describe('a stream that makes no progress', () => {
			it('is sent again from where it stopped; guards against callers that wait for frames dropped during a resume', async () => withEntry(async world => {
				const resumed: number[] = [];
				await addEngine(world, (params, peer) => {
					sendTokens(peer, params, 0, ['one ']);
					sendTokens(peer, params, 2, ['three']);
				}, {
					'request.resume'(params, peer) {
						resumed.push(params.position);
						if (params.position === 2) {
							sendTokens(peer, params, 2, ['three']);
							sendEnd(peer, params, 3);
							return {resumed: true};
						}

						// The entry drops the later frame, because it waits for the answer to the resume.
						sendTokens(peer, params, 2, ['three']);
						sendTokens(peer, params, 1, ['two ']);
						return {resumed: true};
					},
				});
				assert.is(await textOf(await complete(world)), 'one two three');
				assert.equal(resumed, [1, 2]);
			}));

			it('fails at once when its agent does not have it; guards against callers that wait for an answer that cannot come', async () => withEntry(async world => {
				await addEngine(world, (params, peer) => {
					sendTokens(peer, params, 0, ['one ']);
				}, {
					'request.resume'() {
						throw createRequestError('this agent does not have the request', {code: 'unknown-request', ran: 'unknown', status: 404});
					},
				});
				const startMs = performance.now();
				assert.is(await describeError(await complete(world)), '502 endpoint-failed ran retry');
				assert.ok(performance.now() - startMs < 1000);
			}));
		});

		describe('an agent that cannot be reached', () => {
			/** Longer than the entry waits for a new connection before it looks for another endpoint. */
			const disconnectedMs = 700;

			const addDisconnected = async (world: World): Promise<FakeAgent> => {
				const agent = await addEngine(world, (params, peer) => {
					sendTokens(peer, params, 0, ['one ']);
					setTimeout(() => {
						agent.disconnect(disconnectedMs);
					}, 10);
				}, {
					'request.resume'(params, peer) {
						// The end of the connection may have overtaken the first token.
						sendTokens(peer, params, params.position, ['one ', 'two ', 'three'].slice(params.position));
						sendEnd(peer, params, 3);
						return {resumed: true};
					},
				});
				return agent;
			};

			it('is waited for while there is no other one; guards against an answer that is cut although its agent still holds it', async () => withEntry(async world => {
				await addDisconnected(world);
				assert.is(await textOf(await complete(world)), 'one two three');
			}));

			it('is not waited for if another one can go on; guards against answers that wait for an agent that may be lost', async () => withEntry(async world => {
				await addDisconnected(world);
				const other = await addEngine(world, answerRest);
				const startMs = performance.now();
				assert.is(await textOf(await complete(world)), 'one two three');
				assert.is(other.starts.length, 1);
				assert.ok(performance.now() - startMs < disconnectedMs);
			}, inOrder));

			it('is not waited for once it is no longer listed; guards against callers that wait for a host that is gone', async () => withEntry(async world => {
				await addDisconnected(world);
				const answer = complete(world);
				setTimeout(() => {
					world.hosts.length = 0;
				}, 100);
				const startMs = performance.now();
				assert.is(await describeError(await answer), '502 endpoint-failed ran retry');
				assert.ok(performance.now() - startMs < disconnectedMs);
			}));
		});

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

		it('leaves the retry budget as it is when nobody else can take the request; guards against sound requests without a retry after an outage', async () => withEntry(async world => {
			await addAgent(world, 'planner-engines', {
				'request.start'() {
					throw createRequestError('full', {code: 'overloaded', ran: 'not-run', status: 429});
				},
			});
			// More than the budget holds.
			for (let requests = 0; requests < 14; requests++) {
				await complete(world);
			}

			await addEngine(world, answerRest);
			assert.is(await textOf(await complete(world)), 'one two three');
		}, inOrder));

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
});
