/**
 * Invariants I2 and I13 as an engine sees them: neither an order nor the end of its agent cuts off work that is running.
 * Callers do not notice every such cut, because an entry completes the answer at another engine.
 */
import type {EngineRecord} from '@hawthorncleat/stand-ins';
import type {Violation} from './observations.js';

const wholeReasons: ReadonlySet<string> = new Set(['stop', 'length']);

/** Finds work of one engine that ended before its answer was whole. */
export const findCutWork = (engine: string, records: readonly EngineRecord[]): Violation[] => records.flatMap(record => {
	if (record.kind === 'order-start' && record.cutOff > 0) {
		return [`${engine}: order ${record.order.orderNumber} cut off ${record.cutOff} requests`];
	}

	return record.kind === 'generate-end' && !wholeReasons.has(record.reason)
		? [`${engine}: ${record.requestId} ended as ${record.reason} after ${record.outputTokens} tokens`]
		: [];
});
