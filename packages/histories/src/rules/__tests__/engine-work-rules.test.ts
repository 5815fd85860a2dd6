import type {EngineEvent, EngineRecord} from '@hawthorncleat/stand-ins';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {findCutWork} from '../engine-work-rules.js';

const record = (event: EngineEvent): EngineRecord => ({...event, sequence: 1, atMs: 0});
const order = {orderNumber: 7, role: 'decode'} as const;

const startOrder = (cutOff: number): EngineRecord => record({
	kind: 'order-start', order, overlapping: false, cutOff,
});
const endAnswer = (reason: string): EngineRecord => record({
	kind: 'generate-end', requestId: 'r1', reason, outputTokens: 3,
});

describe('work cut off at an engine', () => {
	it('accepts whole answers and orders to an idle engine', () => {
		assert.equal(findCutWork('engine-1', [endAnswer('stop'), endAnswer('length'), startOrder(0)]), []);
	});

	it('finds a planted order that cut off work, which callers do not see', () => {
		assert.equal(findCutWork('engine-1', [startOrder(2)]), ['engine-1: order 7 cut off 2 requests']);
	});

	it('finds a planted cancellation, which callers do not see', () => {
		assert.equal(findCutWork('engine-1', [endAnswer('cancelled')]), ['engine-1: r1 ended as cancelled after 3 tokens']);
	});
});
