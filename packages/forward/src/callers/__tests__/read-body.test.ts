import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {HeldBytes} from '../held-bytes.js';
import {readBody, type BodyRefusal} from '../read-body.js';

const capacity = 1_000_000;

type Fixture = {readonly budget: HeldBytes; readonly req: PassThrough; readonly body: Promise<Buffer | BodyRefusal>};

const start = (headers: Record<string, string>, maxBytes = capacity): Fixture => {
	const budget = new HeldBytes(capacity);
	const req = Object.assign(new PassThrough(), {headers});
	return {budget, req, body: readBody(req as unknown as IncomingMessage, {maxBytes, holding: budget.open(['a']), maxPauseMs: 30})};
};

describe('the body of a request', () => {
	it('ends when nothing more arrives and gives its memory back; guards against bodies that stay open', async () => {
		const {budget, req, body} = start({'transfer-encoding': 'chunked'});
		req.write(Buffer.alloc(5000));
		assert.is(await body, 'stalled');
		assert.is(budget.held, 0);
	});

	it('is refused before it is read if its length has no room; guards against a refusal that comes late', async () => {
		const {budget, body} = start({'content-length': String(capacity * 0.6)});
		assert.is(await body, 'no-room');
		assert.is(budget.held, 0);
	});

	it('is refused when it grows beyond the room or the limit; guards against a chunked body without a bound', async () => {
		for (const [maxBytes, expected] of [[capacity, 'no-room'], [100_000, 'too-long']] as const) {
			const {budget, req, body} = start({'transfer-encoding': 'chunked'}, maxBytes);
			for (let sent = 0; sent < capacity; sent += 10_000) {
				req.write(Buffer.alloc(10_000));
			}

			assert.is(await body, expected);
			assert.is(budget.held, 0);
		}
	});

	it('is whole, and counts as it is kept; guards against lost bytes and memory beside the budget', async () => {
		const {budget, req, body} = start({'transfer-encoding': 'chunked'});
		req.write(Buffer.alloc(5000, 1));
		req.end(Buffer.alloc(5000, 2));
		assert.ok(Buffer.concat([Buffer.alloc(5000, 1), Buffer.alloc(5000, 2)]).equals(await body as Buffer));
		assert.is(budget.held, 10_000);
	});
});
