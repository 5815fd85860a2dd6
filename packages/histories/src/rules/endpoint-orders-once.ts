/**
 * I7: each endpoint order is sent once. An order id begins with the number of the step that it belongs to, as in
 * `7/holder/2`, so that two holders that both carry out one step are seen even though their ids differ.
 */
import type {HistoryRecord} from '../history.js';
import type {Rule, Violation} from './rule.js';

const rule = 'endpoint-orders-once';

const readStep = (record: HistoryRecord): string | undefined => {
	if (record.source !== 'platform' || record.event.kind !== 'endpoint-order') {
		return undefined;
	}

	const {orderId, dataCentre} = record.event.order;
	return `${dataCentre} step ${orderId.split('/')[0]}`;
};

/** Finds steps for which the platform received more than one order. */
export const endpointOrdersOnce: Rule = history => {
	const first = new Map<string, number>();
	const violations: Violation[] = [];
	for (const record of history) {
		const step = readStep(record);
		if (step === undefined) {
			continue;
		}

		const earlier = first.get(step);
		if (earlier === undefined) {
			first.set(step, record.sequence);
		} else {
			violations.push({rule, problem: `${step} was ordered again`, sequences: [earlier, record.sequence]});
		}
	}

	return violations;
};
