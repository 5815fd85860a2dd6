/**
 * A simulated world for random schedules of engine orders: the order row in the table, one engine, two agents that compete
 * for the slot port of its host, and planners of successive epochs. Each exported function is one step.
 */
import * as assert from 'uvu/assert';
import {
	beginOrder,
	beginOutageOrder,
	decideOrderMessage,
	dropOrder,
	findLastOrder,
	finishOrder,
	initialOrderState,
	restoreOrderState,
	markStarted,
	mayExecute,
	mayExecuteInOutage,
	maySendInOutage,
	mayResolveOrder,
	nextOrderNumber,
	recordFinishedOrder,
	type IssuedOrder,
	type EngineOrderRow,
	type AgentOrderState,
} from '../index.js';

type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};

type Agent = {
	/** Undefined while the agent does not run. While it waits for the slot port, its phase is `unknown`. */
	orderState: AgentOrderState | undefined;
	readonly incarnation: string;
	/** The row as this agent last read or wrote it. */
	lastRead: VersionedRow | undefined;
	/** The order of a table outage that the agent executes. */
	outageOrder: IssuedOrder | undefined;
	isConfirmed: boolean;
	isMarkedStarted: boolean;
	isSentToEngine: boolean;
	/** The last order that the engine finished, until the agent has tried to record it in the row. */
	unrecorded: IssuedOrder | undefined;
};

export type Fault = 'settles-at-once' | 'sends-unconfirmed' | 'ignores-engine-number';

export type World = {
	/** Index of the agent that holds the slot port. */
	slotHolder: number | undefined;
	orderRow: VersionedRow | undefined;
	readonly agents: Agent[];
	engine: {changing: boolean; received: number; lastOrder: number; role: 'mixed'};
	writeCount: number;
	/** Epoch of the planner that holds the lease. Messages and writes of a former planner may still arrive. */
	epoch: number;
	highestPlanned: number;
	/** Orders of table outages. Their messages may arrive late and more than once. */
	readonly sentOutageOrders: IssuedOrder[];
	/** Number of the one outage order that the planner would confirm now. */
	confirmableNumber: number | undefined;
	/** Writes of planners that have not taken effect yet. */
	readonly pendingWrites: VersionedRow[];
	/** The planted fault. */
	readonly fault: Fault | undefined;
};

const writeRow = (world: World, version: number, row: EngineOrderRow): boolean => {
	if ((world.orderRow?.version ?? 0) !== version) {
		return false;
	}

	world.orderRow = {version: version + 1, row};
	return true;
};

const makeWriteId = (world: World): string => {
	world.writeCount += 1;
	return `w${world.writeCount}`;
};

const createOrder = (world: World): IssuedOrder => {
	world.highestPlanned = nextOrderNumber(world.epoch, Math.max(world.highestPlanned, world.orderRow?.row.number ?? 0));
	return {number: world.highestPlanned, epoch: world.epoch, role: 'mixed'};
};

/** Queues a planner's write of an order to the row, unless the row shows a started order. `completePendingWrite` applies it. */
export const planRowOrder = (world: World): void => {
	if (world.orderRow?.row.state !== 'started') {
		world.pendingWrites.push({
			version: world.orderRow?.version ?? 0,
			row: {
				...createOrder(world), state: 'written', startedBy: '', writeId: makeWriteId(world),
			},
		});
	}
};

export const completePendingWrite = (world: World): void => {
	const pendingWrite = world.pendingWrites.shift();
	if (pendingWrite?.row.epoch === world.epoch) {
		writeRow(world, pendingWrite.version, pendingWrite.row);
	}
};

export const planOutageOrder = (world: World): void => {
	const order = createOrder(world);
	world.sentOutageOrders.push(order);
	world.confirmableNumber = order.number;
};

/** Starts the next epoch. The authority of the former planner and its confirmations have expired by then. */
export const takeOver = (world: World): void => {
	world.epoch += 1;
	world.confirmableNumber = undefined;
	for (const agent of world.agents) {
		agent.isConfirmed = false;
	}
};

/** Restores the state of an agent from the row and the engine, unless the engine is changing its role. */
const restoreState = (world: World, agent: Agent): void => {
	const engine = {
		...world.engine,
		...world.fault === 'settles-at-once' && {changing: false},
		...world.fault === 'ignores-engine-number' && {lastOrder: 0},
	};
	if (mayResolveOrder(engine)) {
		agent.lastRead = world.orderRow;
		agent.orderState = restoreOrderState(world.orderRow?.row, engine);
		agent.unrecorded = findLastOrder(world.orderRow?.row, engine);
	}
};

export const startAgent = (world: World, index: number): void => {
	const agent = world.agents[index]!;
	agent.orderState ??= initialOrderState;
	world.slotHolder ??= index;

	if (world.slotHolder === index && agent.orderState.phase === 'unknown') {
		restoreState(world, agent);
	}
};

export const killAgent = (world: World, index: number): void => {
	world.agents[index] = createAgent(world.agents[index]!.incarnation);
	if (world.slotHolder === index) {
		world.slotHolder = undefined;
	}
};

/** Creates a step that runs only if the agent holds the slot port. A paused agent is one whose steps do not occur. */
const asSlotHolder = (act: (world: World, agent: Agent) => void) => (world: World, index: number): void => {
	if (world.slotHolder === index) {
		act(world, world.agents[index]!);
	}
};

export const resolveOrder = asSlotHolder((world, agent) => {
	if (agent.orderState!.phase === 'executing' && agent.isSentToEngine && mayResolveOrder(world.engine)) {
		agent.unrecorded = agent.outageOrder ?? agent.lastRead!.row;
		agent.orderState = finishOrder(agent.orderState!);
		agent.outageOrder = undefined;
		agent.isSentToEngine = false;
		agent.isMarkedStarted = false;
	}
});

export const recordOrder = asSlotHolder((world, agent) => {
	const row = agent.unrecorded && recordFinishedOrder(world.orderRow?.row, agent.unrecorded, agent.incarnation, makeWriteId(world));
	agent.unrecorded = undefined;
	if (row) {
		writeRow(world, world.orderRow?.version ?? 0, row);
	}
});

export const receiveOrder = asSlotHolder((world, agent) => {
	const {orderRow} = world;
	if (orderRow && decideOrderMessage(agent.orderState!, orderRow.row.number) === 'read-row' && mayExecute(agent.orderState!, orderRow.row)) {
		agent.lastRead = orderRow;
		agent.isMarkedStarted = false;
	}
});

export const receiveOutageOrder = (world: World, index: number, message: number): void => {
	const agent = world.agents[index]!;
	const order = world.sentOutageOrders[world.sentOutageOrders.length - 1 - message];
	if (world.slotHolder === index && order && mayExecuteInOutage(agent.orderState!, order)) {
		agent.orderState = beginOutageOrder(agent.orderState!, order);
		agent.outageOrder = order;
		agent.isConfirmed = false;
	}
};

export const confirmOrder = asSlotHolder((world, {outageOrder, ...agent}) => {
	if (outageOrder && world.confirmableNumber === outageOrder.number && outageOrder.epoch === world.epoch) {
		world.confirmableNumber = undefined;
		world.agents[world.slotHolder!]!.isConfirmed = !agent.isSentToEngine;
	}
});

export const markOrderStarted = asSlotHolder((world, agent) => {
	const {lastRead, orderState} = agent;
	if (!lastRead || !mayExecute(orderState!, lastRead.row)) {
		return;
	}

	const startedRow = markStarted(lastRead.row, agent.incarnation, makeWriteId(world));
	if (writeRow(world, lastRead.version, startedRow)) {
		agent.orderState = beginOrder(orderState!, lastRead.row);
		agent.lastRead = {version: lastRead.version + 1, row: startedRow};
		agent.isMarkedStarted = true;
	}
});

export const sendToEngine = asSlotHolder((world, agent) => {
	const {outageOrder, isConfirmed, lastRead, isSentToEngine, isMarkedStarted} = agent;
	if (agent.orderState!.phase !== 'executing' || isSentToEngine || !(outageOrder ?? isMarkedStarted)) {
		return;
	}

	if (outageOrder && world.fault !== 'sends-unconfirmed' && !maySendInOutage({confirmed: isConfirmed, validForMs: 1}, 0)) {
		agent.orderState = dropOrder(agent.orderState!);
		agent.outageOrder = undefined;
		return;
	}

	const {number, epoch} = outageOrder ?? lastRead!.row;
	assert.not(world.engine.changing, `order ${number} overlaps with ${world.engine.received}`);
	assert.ok(number > world.engine.received, 'an old order');
	if (outageOrder) {
		assert.is(epoch, world.epoch, 'an order without authority');
	} else {
		assert.is(number, world.orderRow!.row.number, 'a superseded order');
	}

	world.engine = {...world.engine, changing: true, received: number};
	agent.isSentToEngine = true;
	agent.isConfirmed = false;
});

export const createAgent = (incarnation: string): Agent => ({
	orderState: undefined, incarnation, lastRead: undefined, outageOrder: undefined, isConfirmed: false, isMarkedStarted: false, isSentToEngine: false, unrecorded: undefined,
});
