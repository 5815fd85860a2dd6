/**
 * The rules for orders that change the role of an engine, as a state machine without I/O. A planner writes an order to the
 * engine's row in the table, or sends it without a row during a table outage; the engine's agent carries it out. Numbered
 * rules in the comments are those of the list under "Orders to an engine" in docs/design.md. Rule 1, the exclusive bind of the
 * slot port, is outside this module.
 */

export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Value of the table row `engine-order/<endpoint>`. */
export type EngineOrderRow = {
	readonly number: number;
	/** Epoch of the lease under which the planner wrote the order. */
	readonly epoch: number;
	readonly role: EngineRole;
	readonly state: 'written' | 'started' | 'settled';
	/** Incarnation of the agent that started the order; empty until it is started. */
	readonly startedBy: string;
	/** Id of the write, to detect afterwards whether a write whose response was lost took effect. */
	readonly writeId: string;
};

/** Key of an endpoint's order row. */
export const engineOrderKey = (endpoint: string): string => `engine-order/${endpoint}`;

const isNonNegativeInteger = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Parses the value of an order row; undefined if it is malformed. */
export const parseOrderRow = (value: unknown): EngineOrderRow | undefined => {
	const row = value as Partial<EngineOrderRow> | null;
	const isValid = typeof row === 'object' && row !== null
		&& isNonNegativeInteger(row.number)
		&& isNonNegativeInteger(row.epoch)
		&& ['mixed', 'prefill', 'decode'].includes(row.role ?? '')
		&& ['written', 'started', 'settled'].includes(row.state ?? '')
		&& typeof row.startedBy === 'string'
		&& typeof row.writeId === 'string';
	return isValid ? row as EngineOrderRow : undefined;
};

/**
 * Size of the range of order numbers of one epoch. The ranges of two lease holders do not overlap and the later holder's
 * numbers are always higher, even if it never saw the last orders of an outage. At one order a second an epoch would have
 * to last twelve days to use up its range, and the numbers stay exact integers for 2^33 epochs. Rows with numbers below the
 * range of epoch 1 were written before this rule existed and stay valid.
 */
export const orderNumbersPerEpoch = 2 ** 20;

/** Rule `epoch-numbers` of models/engine-orders.pml: the next number is above all known numbers and not below the epoch's range. */
export const nextOrderNumber = (epoch: number, highestKnownNumber: number): number => Math.max(highestKnownNumber + 1, epoch * orderNumbersPerEpoch);

/** Computes the epoch of an order from its number; 0 for numbers from before rule `epoch-numbers`. */
const epochOfNumber = (number: number): number => Math.floor(number / orderNumbersPerEpoch);

/** An order without its progress (state, agent and write id of its row). */
export type IssuedOrder = Pick<EngineOrderRow, 'epoch' | 'number' | 'role'>;

/**
 * State of an agent concerning the orders to its engine. `highestNumber` is the highest order number that the agent has
 * seen, `epoch` the latest epoch, and `previousHighestNumber` the highest number before the order that is executed.
 */
export type AgentOrderState
	= | {readonly phase: 'unknown'}
		| {readonly phase: 'idle'; readonly highestNumber: number; readonly epoch: number}
		| {readonly phase: 'executing'; readonly highestNumber: number; readonly epoch: number; readonly previousHighestNumber: number};

/** The fields of an engine's state that the rules need. */
export type OrderedEngine = {readonly changing: boolean; readonly lastOrder: number; readonly role: EngineRole};

/** State of an agent that has just started. It executes no order until it has read the row. */
export const initialOrderState: AgentOrderState = {phase: 'unknown'};

/**
 * Rule `settle` of models/engine-orders.pml: whatever the row says, no order is recorded as finished and none is sent until
 * the engine reports that no change is in progress.
 */
export const mayResolveOrder = (engine: {readonly changing: boolean} | undefined): boolean => engine?.changing === false;

/**
 * Finds the last order that the engine may have finished. Rule `engine-number` of models/engine-orders.pml: if an agent ended
 * before it recorded an order of a table outage, only the engine reports that order, and a row that is written later may have
 * a lower number.
 */
export const findLastOrder = (row: EngineOrderRow | undefined, engine: OrderedEngine): IssuedOrder | undefined => {
	const {lastOrder, role} = engine;
	if (lastOrder <= (row?.number ?? 0)) {
		return row && {number: row.number, epoch: row.epoch, role: row.role};
	}

	return {number: lastOrder, epoch: Math.max(row?.epoch ?? 0, epochOfNumber(lastOrder)), role};
};

/**
 * State of an agent after it has read the row. Rules 2 and 3, rule `highest` of models/engine-orders.pml: the highest number is
 * taken from the row and the engine while the engine has no change in progress.
 */
export const restoreOrderState = (row: EngineOrderRow | undefined, engine: OrderedEngine): AgentOrderState => {
	if (!mayResolveOrder(engine)) {
		return initialOrderState;
	}

	const lastOrder = findLastOrder(row, engine);
	return {phase: 'idle', highestNumber: lastOrder?.number ?? 0, epoch: lastOrder?.epoch ?? 0};
};

export type OrderDecision = 'not-ready' | 'running' | 'settled' | 'ignored' | 'read-row';

/** Decides how to handle an order message, before the row is read. */
export const decideOrderMessage = (orderState: AgentOrderState, orderNumber: number): OrderDecision => {
	if (orderState.phase === 'unknown') {
		return 'not-ready';
	}

	if (orderState.phase === 'executing') {
		// Rule 4: one order at a time.
		return orderNumber === orderState.highestNumber ? 'running' : 'ignored';
	}

	if (orderNumber > orderState.highestNumber) {
		return 'read-row';
	}

	return orderNumber === orderState.highestNumber ? 'settled' : 'ignored';
};

/** Rule 5, rule `row` of models/engine-orders.pml: only the row is authoritative, and only if it is new and not yet started. */
export const mayExecute = (orderState: AgentOrderState, row: EngineOrderRow | undefined): boolean =>
	orderState.phase === 'idle' && row !== undefined && row.number > orderState.highestNumber && row.state === 'written';

/** Starts the execution of an order. Its number is the highest from then on, even if the execution fails. */
export const beginOrder = (orderState: AgentOrderState, row: EngineOrderRow): AgentOrderState => {
	if (!mayExecute(orderState, row)) {
		throw new Error(`order ${row.number} may not start in phase ${orderState.phase}`);
	}

	return enterExecution(orderState, row);
};

/**
 * Whether an order of a table outage may start: the agent has read the row since it started, executes no order, and has
 * seen no order with the same or a higher number or with a later epoch.
 */
export const mayExecuteInOutage = (orderState: AgentOrderState, {number, epoch}: IssuedOrder): boolean =>
	orderState.phase === 'idle' && number > orderState.highestNumber && epoch >= orderState.epoch;

/** Starts the execution of an order of a table outage. */
export const beginOutageOrder = (orderState: AgentOrderState, order: IssuedOrder): AgentOrderState => {
	if (!mayExecuteInOutage(orderState, order)) {
		throw new Error(`order ${order.number} of a table outage may not start in phase ${orderState.phase}`);
	}

	return enterExecution(orderState, order);
};

const enterExecution = (orderState: AgentOrderState, {number, epoch}: IssuedOrder): AgentOrderState =>
	({
		phase: 'executing', highestNumber: number, epoch, previousHighestNumber: orderState.phase === 'unknown' ? 0 : orderState.highestNumber,
	});

/** State after the engine has finished the order. */
export const finishOrder = (orderState: AgentOrderState): AgentOrderState =>
	orderState.phase === 'executing' ? {phase: 'idle', highestNumber: orderState.highestNumber, epoch: orderState.epoch} : orderState;

/**
 * State after an order was dropped because its planner did not confirm it, so that the engine did not get it. The highest
 * number is restored, so that a row with a lower number may still be executed.
 */
export const dropOrder = (orderState: AgentOrderState): AgentOrderState =>
	orderState.phase === 'executing' ? {phase: 'idle', highestNumber: orderState.previousHighestNumber, epoch: orderState.epoch} : orderState;

/** Result of the planner for the RPC `order.confirm`. */
export type OrderConfirmation = {readonly confirmed: boolean; readonly validForMs: number};

/**
 * Rule `confirm` of models/engine-orders.pml: the planner confirms a number once, and the order is sent to the engine before the
 * confirmation expires. `elapsedMs` counts from before the agent requested the confirmation.
 */
export const maySendInOutage = ({confirmed, validForMs}: OrderConfirmation, elapsedMs: number): boolean =>
	confirmed && elapsedMs < validForMs;

/** Rule 6, rule `mark` of models/engine-orders.pml: the row to write before the order is sent to the engine. */
export const markStarted = (row: EngineOrderRow, startedBy: string, writeId: string): EngineOrderRow => ({
	...row, state: 'started', startedBy, writeId,
});

/** Rule 6: the row to write after the engine has finished the order. */
export const markSettled = (row: EngineOrderRow, writeId: string): EngineOrderRow => ({...row, state: 'settled', writeId});

/**
 * Rule `record` of models/engine-orders.pml: the row to write after the engine has finished `lastOrder`, which may be an order of
 * a table outage without a row. Undefined if the row needs no change.
 */
export const recordFinishedOrder = (row: EngineOrderRow | undefined, lastOrder: IssuedOrder, startedBy: string, writeId: string): EngineOrderRow | undefined => {
	const rowNumber = row?.number ?? 0;
	if (rowNumber < lastOrder.number) {
		return {
			...lastOrder, state: 'settled', startedBy, writeId,
		};
	}

	return row && rowNumber === lastOrder.number && row.state !== 'settled' ? markSettled(row, writeId) : undefined;
};
