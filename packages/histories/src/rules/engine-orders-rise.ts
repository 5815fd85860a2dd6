/**
 * I1: an engine receives no conflicting orders. Their numbers rise from order to order, no order begins while another
 * one runs, and no order is one that an engine which checks numbers would refuse.
 */
import type {HistoryRecord} from '../history.js';
import type {Rule, Violation} from './rule.js';

const rule = 'engine-orders-rise';

/** The orders of one engine so far. */
type Orders = {highest: number; running: number | undefined; lastSequence: number};

type EngineRecord = HistoryRecord & {readonly source: 'engine'};

const judgeStart = (orders: Orders, number: number, overlapping: boolean): string | undefined => {
	if (number <= orders.highest) {
		return `order ${number} came after order ${orders.highest}`;
	}

	return overlapping || orders.running !== undefined
		? `order ${number} began while order ${orders.running ?? 'unknown'} was running`
		: undefined;
};

const judge = (orders: Orders, {event}: EngineRecord): string | undefined => {
	switch (event.kind) {
		case 'order-start': {
			const {order: {orderNumber}, overlapping} = event;
			const problem = judgeStart(orders, orderNumber, overlapping);
			orders.highest = Math.max(orders.highest, orderNumber);
			orders.running = orderNumber;
			return problem;
		}

		case 'order-refused': {
			return `the engine had to refuse order ${event.order.orderNumber}`;
		}

		case 'order-end': {
			orders.running = orders.running === event.order.orderNumber ? undefined : orders.running;
			return undefined;
		}

		case 'crash': {
			orders.running = undefined;
			return undefined;
		}

		case 'request':
		case 'restart':
		case 'generate-end': {
			return undefined;
		}
	}
};

/** Finds conflicting orders at every engine. */
export const engineOrdersRise: Rule = history => {
	const engines = new Map<string, Orders>();
	const violations: Violation[] = [];
	for (const record of history) {
		if (record.source !== 'engine') {
			continue;
		}

		const orders = engines.get(record.name) ?? {highest: 0, running: undefined, lastSequence: record.sequence};
		engines.set(record.name, orders);
		const problem = judge(orders, record);
		if (problem !== undefined) {
			violations.push({rule, problem: `${record.name}: ${problem}`, sequences: [orders.lastSequence, record.sequence]});
		}

		if (record.event.kind.startsWith('order-')) {
			orders.lastSequence = record.sequence;
		}
	}

	return violations;
};
