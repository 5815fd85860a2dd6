import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {brandAs, type EndpointId, type RequestId} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {callEndpoint, type EndpointAnswer} from '../call-endpoint.js';
import {readEndpointAnswer, type AnswerReader} from '../endpoint-answer.js';
import {EndpointPool, type PooledEndpoint} from '../endpoint-pool.js';
import type {EndpointProcess} from '../leaving-processes.js';
import type {AnswerHead} from '../../ports.js';

const requestId = brandAs<RequestId>('r1');
const process = {id: brandAs<EndpointId>('e1'), startedAt: 7};
const target = {endpoint: process} as unknown as PooledEndpoint;

type Announcements = {readonly processes: EndpointProcess[]; readonly retryAfterMs: Array<number | undefined>; damaged: number};

/** Reads every answer as the same head. */
const createReader = (head: Partial<AnswerHead>): AnswerReader & {readonly announced: Announcements} => {
	const announced: Announcements = {processes: [], retryAfterMs: [], damaged: 0};
	return {
		announced,
		wire: {
			readAnswer: status => ({
				status, isNotRun: false, isFromOtherEndpoint: false, isSealed: true, isEndpointLeaving: true, isLeavingDamaged: false, headers: {}, ...head,
			}),
		},
		answerListener: {
			onRetryAfter(_target, {retryAfterMs}) {
				announced.retryAfterMs.push(retryAfterMs);
			},
			onRateLimit: () => undefined,
			onLeaving(leaving) {
				announced.processes.push(leaving);
			},
			onDamagedLeaving() {
				announced.damaged += 1;
			},
		},
	};
};

const read = (call: {readonly requestId?: RequestId}, status: number, head: Partial<AnswerHead>): Announcements => {
	const reader = createReader(head);
	readEndpointAnswer(reader, {target, ...call}, status, {});
	return reader.announced;
};

describe('the announcement of an endpoint that it leaves', () => {
	describe('in the answer to a request', () => {
		for (const status of [200, 400, 429, 500, 503, 504]) {
			it(`with status ${status} binds the process that was called; guards against endpoints that announce it in vain`, () => {
				assert.equal(read({requestId}, status, {requestId}).processes, [process]);
			});
		}

		it('that is a refusal binds without an id, because refusals may lack it', () => {
			assert.equal(read({requestId}, 503, {isNotRun: true}).processes, [process]);
		});

		it('does not bind with the id of another request; guards against an endpoint that is given up for a foreign answer', () => {
			for (const status of [200, 503]) {
				assert.equal(read({requestId}, status, {requestId: 'another'}).processes, []);
			}
		});

		it('does not bind a success without an id, which may be of any request', () => {
			assert.equal(read({requestId}, 200, {}).processes, []);
		});

		it('does not bind when another endpoint has the address; guards against the successor at an address that takes the place of the endpoint', () => {
			assert.equal(read({requestId}, 421, {requestId, isFromOtherEndpoint: true}).processes, []);
			assert.equal(read({requestId}, 421, {requestId, isFromOtherEndpoint: true, endpointId: 'e2'}).processes, []);
		});

		it('binds an endpoint that refuses for its role and names itself', () => {
			assert.equal(read({requestId}, 421, {requestId, isFromOtherEndpoint: true, endpointId: 'e1'}).processes, [process]);
		});

		it('is counted and nothing else when its value is damaged', () => {
			const {processes, damaged} = read({requestId}, 200, {requestId, isEndpointLeaving: false, isLeavingDamaged: true});
			assert.equal(processes, []);
			assert.is(damaged, 1);
		});
	});

	describe('in the answer to a report, an order or a release', () => {
		it('binds the process that was called', () => {
			assert.equal(read({}, 200, {}).processes, [process]);
		});

		it('does not bind with the id of a request; guards against late answers of the process before', () => {
			assert.equal(read({}, 200, {requestId}).processes, []);
		});
	});
});

describe('the time for which an endpoint wants no requests', () => {
	it('is passed on from the answer to a request, a report, an order or a release; guards against calls that count against the endpoint unnoticed', () => {
		assert.equal(read({requestId}, 503, {requestId, retryAfterMs: 500}).retryAfterMs, [500]);
		assert.equal(read({}, 503, {retryAfterMs: 500}).retryAfterMs, [500]);
		assert.equal(read({}, 503, {invalidRetryAfter: 'soon'}).retryAfterMs, [undefined]);
	});

	it('is not passed on from the answer to another request; guards against an endpoint that is kept out for a foreign answer', () => {
		assert.equal(read({requestId}, 503, {requestId: 'another', retryAfterMs: 500}).retryAfterMs, []);
		assert.equal(read({}, 503, {requestId, retryAfterMs: 500}).retryAfterMs, []);
	});
});

/** Calls an endpoint that answers with status 200. */
const callWith = async (reader: AnswerReader): Promise<EndpointAnswer | undefined> => {
	const server = createServer((req, res) => {
		res.end('{}');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pool = new EndpointPool({clock: createManualClock(), entries: () => 1, serviceOf: () => undefined});
	pool.put({
		...process, service: 's', address: '127.0.0.1', port: (server.address() as AddressInfo).port, dataCentre: 'd', slots: 1, isLeaving: false, heartbeat: 1,
	});
	const answer = await callEndpoint(reader, pool.get('e1')!, {method: 'GET', path: '/', headers: {}}, {signal: AbortSignal.timeout(3000)});
	await pool.destroy();
	server.close();
	return answer;
};

describe('a call that this process answers itself', () => {
	it('passes on that the endpoint leaves', async () => {
		const reader = createReader({});
		assert.equal(await callWith(reader), {status: 200, body: '{}'});
		assert.equal(reader.announced.processes, [process]);
	});

	// The report of an engine was read from the body of a late answer, which need not even be JSON.
	it('has no answer when a late one to a request arrives in its place; guards against orders that follow a foreign answer', async () => {
		assert.is(await callWith(createReader({requestId})), undefined);
	});
});
