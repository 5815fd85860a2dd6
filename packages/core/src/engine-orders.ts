/**
 * The rules for orders to an engine, as a state machine without I/O. The numbers in the comments are those of the list
 * under "Orders to an engine" in docs/design.md. Rule 1, the exclusive bind of the slot port, is outside this module.
 */

export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Value of the table row `engine-order/<endpoint>`. */
export type EngineOrderRow = {
	readonly number: number;
	/** Epoch of the planner's lease. */
	readonly epoch: number;
	readonly role: EngineRole;
	readonly state: 'written' | 'started' | 'settled';
	/** Incarnation of the agent that started the order; empty before that. */
	readonly startedBy: string;
	/** Identifies the write, so that a write whose response was lost is recognised. */
	readonly writeId: string;
};

/** Key of an endpoint's order row. */
export const engineOrderKey = (endpoint: string): string => `engine-order/${endpoint}`;

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Reads the value of an order row; undefined means that it is malformed. */
export const parseOrderRow = (value: unknown): EngineOrderRow | undefined => {
	const row = value as Partial<EngineOrderRow> | null;
	const isValid = typeof row === 'object' && row !== null
		&& isCount(row.number)
		&& isCount(row.epoch)
		&& ['mixed', 'prefill', 'decode'].includes(row.role ?? '')
		&& ['written', 'started', 'settled'].includes(row.state ?? '')
		&& typeof row.startedBy === 'string'
		&& typeof row.writeId === 'string';
	return isValid ? row as EngineOrderRow : undefined;
};

/** What an agent knows about the orders to its engine. */
export type EngineOrders
	= | {readonly phase: 'unknown'}
		| {readonly phase: 'settling'; readonly highest: number}
		| {readonly phase: 'idle'; readonly highest: number}
		| {readonly phase: 'executing'; readonly highest: number};

/** An agent that has just started knows nothing and sends nothing. */
export const initialOrders: EngineOrders = {phase: 'unknown'};

/** Rules 2 and 3, rule `highest` of models/engine-orders.pml: takes the row's number as the highest known; an unfinished order has to be settled first. */
export const learnRow = (row: EngineOrderRow | undefined): EngineOrders => {
	if (!row) {
		return {phase: 'idle', highest: 0};
	}

	return {phase: row.state === 'settled' ? 'idle' : 'settling', highest: row.number};
};

/** Rule 3, rule `settle` of models/engine-orders.pml: an unfinished order is settled only while the engine changes nothing. */
export const maySettle = (engine: {readonly changing: boolean} | undefined): boolean => engine?.changing === false;

export type OrderDecision = 'not-ready' | 'running' | 'settled' | 'ignored' | 'read-row';

/** What an order message leads to, before the row is read. */
export const decideMessage = (orders: EngineOrders, orderNumber: number): OrderDecision => {
	if (orders.phase === 'unknown' || orders.phase === 'settling') {
		return 'not-ready';
	}

	if (orders.phase === 'executing') {
		// Rule 4: one order at a time.
		return orderNumber === orders.highest ? 'running' : 'ignored';
	}

	if (orderNumber > orders.highest) {
		return 'read-row';
	}

	return orderNumber === orders.highest ? 'settled' : 'ignored';
};

/** Rule 5, rule `row` of models/engine-orders.pml: only the row counts, and only if it is new and not yet started. */
export const mayExecute = (orders: EngineOrders, row: EngineOrderRow | undefined): boolean =>
	orders.phase === 'idle' && row !== undefined && row.number > orders.highest && row.state === 'written';

/** Enters execution of an order; its number is the highest known from now on, whatever happens. */
export const beginOrder = (orders: EngineOrders, row: EngineOrderRow): EngineOrders => {
	if (!mayExecute(orders, row)) {
		throw new Error(`order ${row.number} may not run in phase ${orders.phase}`);
	}

	return {phase: 'executing', highest: row.number};
};

/** Leaves execution or settling. */
export const finishOrder = (orders: EngineOrders): EngineOrders =>
	orders.phase === 'unknown' ? orders : {phase: 'idle', highest: orders.highest};

/** Rule 6, rule `mark` of models/engine-orders.pml: the row before the engine gets the order. */
export const markStarted = (row: EngineOrderRow, startedBy: string, writeId: string): EngineOrderRow => ({
	...row, state: 'started', startedBy, writeId,
});

/** Rule 6: the row after the engine has finished. */
export const markSettled = (row: EngineOrderRow, writeId: string): EngineOrderRow => ({...row, state: 'settled', writeId});
