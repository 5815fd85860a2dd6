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

/**
 * Numbers of one epoch, so that the numbers of two holders of a lease never meet and those of the later one are always
 * higher, also when the later one does not know the last orders of an outage. At one order a second an epoch would have
 * to last twelve days to use them up, and they stay exact integers for 2^33 epochs. Rows with lower numbers come from before
 * this rule and stay valid.
 */
export const orderNumbersPerEpoch = 2 ** 20;

/** Rule `epoch-numbers` of models/engine-orders.pml: above all numbers that are known and within those of the epoch. */
export const nextOrderNumber = (epoch: number, highest: number): number => Math.max(highest + 1, epoch * orderNumbersPerEpoch);

/** The epoch of an order that only its number is known of; 0 for numbers from before that rule. */
const epochOfNumber = (number: number): number => Math.floor(number / orderNumbersPerEpoch);

/** An order without the progress that its row shows. */
export type IssuedOrder = Pick<EngineOrderRow, 'epoch' | 'number' | 'role'>;

/** What an agent knows about the orders to its engine. */
export type AgentOrderState
	= | {readonly phase: 'unknown'}
		| {readonly phase: 'idle'; readonly highestNumber: number; readonly epoch: number}
		| {readonly phase: 'executing'; readonly highestNumber: number; readonly epoch: number; readonly previousHighestNumber: number};

/** State of an engine as far as the rules need it. */
export type OrderedEngine = {readonly changing: boolean; readonly lastOrder: number; readonly role: EngineRole};

/** An agent that has just started knows nothing and sends nothing. */
export const initialOrderState: AgentOrderState = {phase: 'unknown'};

/** Rule `settle` of models/engine-orders.pml: nothing is settled or ordered before the engine changes nothing, whatever the row says. */
export const mayResolveOrder = (engine: {readonly changing: boolean} | undefined): boolean => engine?.changing === false;

/**
 * The last order that the engine may have finished. Rule `engine-number` of models/engine-orders.pml: an order of an outage
 * whose agent ended shows only at the engine, and a row that is written later may have a lower number.
 */
export const findLastOrder = (row: EngineOrderRow | undefined, engine: OrderedEngine): IssuedOrder | undefined => {
	const {lastOrder, role} = engine;
	if (lastOrder <= (row?.number ?? 0)) {
		return row && {number: row.number, epoch: row.epoch, role: row.role};
	}

	return {number: lastOrder, epoch: Math.max(row?.epoch ?? 0, epochOfNumber(lastOrder)), role};
};

/** Rules 2 and 3, rule `highest` of models/engine-orders.pml: the row, read while the engine changes nothing, gives the highest known number. */
export const restoreOrderState = (row: EngineOrderRow | undefined, engine: OrderedEngine): AgentOrderState => {
	if (!mayResolveOrder(engine)) {
		return initialOrderState;
	}

	const last = findLastOrder(row, engine);
	return {phase: 'idle', highestNumber: last?.number ?? 0, epoch: last?.epoch ?? 0};
};

export type OrderDecision = 'not-ready' | 'running' | 'settled' | 'ignored' | 'read-row';

/** What an order message leads to, before the row is read. */
export const decideOrderMessage = (orders: AgentOrderState, orderNumber: number): OrderDecision => {
	if (orders.phase === 'unknown') {
		return 'not-ready';
	}

	if (orders.phase === 'executing') {
		// Rule 4: one order at a time.
		return orderNumber === orders.highestNumber ? 'running' : 'ignored';
	}

	if (orderNumber > orders.highestNumber) {
		return 'read-row';
	}

	return orderNumber === orders.highestNumber ? 'settled' : 'ignored';
};

/** Rule 5, rule `row` of models/engine-orders.pml: only the row counts, and only if it is new and not yet started. */
export const mayExecute = (orders: AgentOrderState, row: EngineOrderRow | undefined): boolean =>
	orders.phase === 'idle' && row !== undefined && row.number > orders.highestNumber && row.state === 'written';

/** Enters execution of an order; its number is the highest known from now on, whatever happens. */
export const beginOrder = (orders: AgentOrderState, row: EngineOrderRow): AgentOrderState => {
	if (!mayExecute(orders, row)) {
		throw new Error(`order ${row.number} may not run in phase ${orders.phase}`);
	}

	return execute(orders, row);
};

/**
 * Whether an order of a table outage may begin. The agent has read the row since it started, runs no order, and knows no
 * higher number and no later epoch.
 */
export const mayExecuteInOutage = (orders: AgentOrderState, {number, epoch}: IssuedOrder): boolean =>
	orders.phase === 'idle' && number > orders.highestNumber && epoch >= orders.epoch;

/** Enters execution of an order of a table outage. */
export const beginOutageOrder = (orders: AgentOrderState, order: IssuedOrder): AgentOrderState => {
	if (!mayExecuteInOutage(orders, order)) {
		throw new Error(`order ${order.number} of an outage may not run in phase ${orders.phase}`);
	}

	return execute(orders, order);
};

const execute = (orders: AgentOrderState, {number, epoch}: IssuedOrder): AgentOrderState =>
	({
		phase: 'executing', highestNumber: number, epoch, previousHighestNumber: orders.phase === 'unknown' ? 0 : orders.highestNumber,
	});

/** Leaves execution. */
export const finishOrder = (orders: AgentOrderState): AgentOrderState =>
	orders.phase === 'executing' ? {phase: 'idle', highestNumber: orders.highestNumber, epoch: orders.epoch} : orders;

/** Leaves execution of an order that was not confirmed and not sent; a row with a lower number stays executable. */
export const dropOrder = (orders: AgentOrderState): AgentOrderState =>
	orders.phase === 'executing' ? {phase: 'idle', highestNumber: orders.previousHighestNumber, epoch: orders.epoch} : orders;

/** The planner's answer to `order.confirm`. */
export type OrderConfirmation = {readonly confirmed: boolean; readonly validForMs: number};

/**
 * Rule `confirm` of models/engine-orders.pml: the planner confirms a number once, and the engine gets the order before that
 * runs out, counted from before the question.
 */
export const maySendInOutage = ({confirmed, validForMs}: OrderConfirmation, sinceAskedMs: number): boolean =>
	confirmed && sinceAskedMs < validForMs;

/** Rule 6, rule `mark` of models/engine-orders.pml: the row before the engine gets the order. */
export const markStarted = (row: EngineOrderRow, startedBy: string, writeId: string): EngineOrderRow => ({
	...row, state: 'started', startedBy, writeId,
});

/** Rule 6: the row after the engine has finished. */
export const markSettled = (row: EngineOrderRow, writeId: string): EngineOrderRow => ({...row, state: 'settled', writeId});

/**
 * Rule `record` of models/engine-orders.pml: the row after the engine has finished `last`, which may be an order of an
 * outage; undefined if the row stays as it is.
 */
export const recordFinishedOrder = (row: EngineOrderRow | undefined, last: IssuedOrder, startedBy: string, writeId: string): EngineOrderRow | undefined => {
	const number = row?.number ?? 0;
	if (number < last.number) {
		return {
			...last, state: 'settled', startedBy, writeId,
		};
	}

	return row && number === last.number && row.state !== 'settled' ? markSettled(row, writeId) : undefined;
};
