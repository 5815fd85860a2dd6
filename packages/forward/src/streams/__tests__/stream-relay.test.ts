import {Buffer} from 'node:buffer';
import {ServerResponse, type IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CallerExchange} from '../../callers/caller-exchange.js';
import {EventSplitter} from '../event-splitter.js';
import type {AdmittedRequest} from '../../requests/admitted-request.js';
import type {AnswerHead} from '../../ports.js';
import {streamStallMs, StreamRelay} from '../stream-relay.js';

const clock = {nowMs: () => performance.now()};
const head = {status: 200, headers: {}} as unknown as AnswerHead;

/** A relay and what it has written to the caller. */
const createRelay = (): {readonly relay: StreamRelay; readonly written: () => string} => {
	const res = new ServerResponse({method: 'GET', socket: new Socket()} as IncomingMessage);
	let text = '';
	res.write = (chunk: unknown) => {
		text += String(chunk);
		return true;
	};

	return {
		relay: new StreamRelay(new CallerExchange(res, {
			clock, stopLimit: new AbortController().signal, isStopping: () => false, hasLaterRequest: () => false,
		}), undefined), written: () => text,
	};
};

describe('the relay of a stream', () => {
	it('continues with the next attempt after the last complete event; guards against a truncated event that is repeated after a resume', () => {
		const {relay, written} = createRelay();
		const [first, second] = [new EventSplitter(), new EventSplitter()];
		relay.write(head, first.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')), first);
		assert.is(relay.lastEventId, '1');
		relay.write(head, second.push(Buffer.from('id: 2\ndata: b\n\n')), second);
		assert.is(relay.lastEventId, '2');
		assert.is(written(), 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
	});
});

describe('the stall limit of a stream', () => {
	const limitMs = (expectedMs: number): number => streamStallMs({route: {latencyTargetMs: 10}} as unknown as AdmittedRequest, expectedMs);

	it('is longer if the endpoint was expected to be slow; guards against streams repeated because their endpoint is busy', () => {
		assert.is(limitMs(0), 1200);
		assert.is(limitMs(2000), 4000);
	});

	it('ends before callers disconnect; guards against a stall that is noticed too late', () => {
		assert.ok(limitMs(0) < 2000);
	});
});
