/**
 * A table, an engine, two agents and the planners of two epochs, for random schedules of engine orders.
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
	type IssuedOrder as IssuedOrdererence,
	type EngineOrderRow,
	type AgentOrderState,
} from '../index.js';

type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};

type Agent = {
	/** An agent that does not run has no orders; one that waits for the slot has not learnt anything. */
	orders: AgentOrderState | undefined;
	readonly incarnation: string;
	/** The row as this agent last read or wrote it. */
	known: VersionedRow | undefined;
	/** The order of an outage that waits for its confirmation. */
	asking: IssuedOrdererence | undefined;
	confirmed: boolean;
	isMarked: boolean;
	isSent: boolean;
	/** The last order that the engine finished, until the row shows it. */
	unrecorded: IssuedOrdererence | undefined;
};

export type Fault = 'settles-at-once' | 'sends-unconfirmed' | 'ignores-engine-number';

export type World = {
	/** Which agent holds the slot port. */
	slotHolder: number | undefined;
	orderRow: VersionedRow | undefined;
	readonly agents: Agent[];
	engine: {changing: boolean; received: number; lastOrder: number; role: 'mixed'};
	writeCount: number;
	/** Epoch of the planner in charge; the former one can still send messages and late writes. */
	epoch: number;
	highestPlanned: number;
	/** Orders of outages, whose messages may arrive late and again, and the one that would be confirmed now. */
	readonly sentOutageOrders: IssuedOrdererence[];
	confirmableNumber: number | undefined;
	/** Writes of planners that may still take effect. */
	readonly pendingWrites: VersionedRow[];
	/** The planted fault. */
	readonly fault: Fault | undefined;
};

const write = (world: World, version: number, row: EngineOrderRow): boolean => {
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

const plan = (world: World): IssuedOrdererence => {
	world.highestPlanned = nextOrderNumber(world.epoch, Math.max(world.highestPlanned, world.orderRow?.row.number ?? 0));
	return {number: world.highestPlanned, epoch: world.epoch, role: 'mixed'};
};

/** The planner's write, which takes effect now or later: only while no order is started. */
export const planRowOrder = (world: World): void => {
	if (world.orderRow?.row.state !== 'started') {
		world.pendingWrites.push({
			version: world.orderRow?.version ?? 0,
			row: {
				...plan(world), state: 'written', startedBy: '', writeId: makeWriteId(world),
			},
		});
	}
};

export const completePendingWrite = (world: World): void => {
	const late = world.pendingWrites.shift();
	if (late?.row.epoch === world.epoch) {
		write(world, late.version, late.row);
	}
};

export const planOutageOrder = (world: World): void => {
	const order = plan(world);
	world.sentOutageOrders.push(order);
	world.confirmableNumber = order.number;
};

/** The authority of the former planner and its confirmations have run out by then. */
export const takeOver = (world: World): void => {
	world.epoch += 1;
	world.confirmableNumber = undefined;
	for (const agent of world.agents) {
		agent.confirmed = false;
	}
};

/** An agent learns while the engine changes nothing. */
const learn = (world: World, agent: Agent): void => {
	const engine = {
		...world.engine,
		...world.fault === 'settles-at-once' && {changing: false},
		...world.fault === 'ignores-engine-number' && {lastOrder: 0},
	};
	if (mayResolveOrder(engine)) {
		agent.known = world.orderRow;
		agent.orders = restoreOrderState(world.orderRow?.row, engine);
		agent.unrecorded = findLastOrder(world.orderRow?.row, engine);
	}
};

export const startAgent = (world: World, index: number): void => {
	const agent = world.agents[index]!;
	agent.orders ??= initialOrderState;
	world.slotHolder ??= index;

	if (world.slotHolder === index && agent.orders.phase === 'unknown') {
		learn(world, agent);
	}
};

export const killAgent = (world: World, index: number): void => {
	world.agents[index] = createAgent(world.agents[index]!.incarnation);
	if (world.slotHolder === index) {
		world.slotHolder = undefined;
	}
};

/** Runs a step of the agent that holds the slot; a paused agent just has no steps. */
const withAgent = (act: (world: World, agent: Agent) => void) => (world: World, index: number): void => {
	if (world.slotHolder === index) {
		act(world, world.agents[index]!);
	}
};

export const resolveOrder = withAgent((world, agent) => {
	if (agent.orders!.phase === 'executing' && agent.isSent && mayResolveOrder(world.engine)) {
		agent.unrecorded = agent.asking ?? agent.known!.row;
		agent.orders = finishOrder(agent.orders!);
		agent.asking = undefined;
		agent.isSent = false;
		agent.isMarked = false;
	}
});

export const recordOrder = withAgent((world, agent) => {
	const row = agent.unrecorded && recordFinishedOrder(world.orderRow?.row, agent.unrecorded, agent.incarnation, makeWriteId(world));
	agent.unrecorded = undefined;
	if (row) {
		write(world, world.orderRow?.version ?? 0, row);
	}
});

export const receiveOrder = withAgent((world, agent) => {
	const {orderRow: table} = world;
	if (table && decideOrderMessage(agent.orders!, table.row.number) === 'read-row' && mayExecute(agent.orders!, table.row)) {
		agent.known = table;
		agent.isMarked = false;
	}
});

export const receiveOutageOrder = (world: World, index: number, message: number): void => {
	const agent = world.agents[index]!;
	const order = world.sentOutageOrders[world.sentOutageOrders.length - 1 - message];
	if (world.slotHolder === index && order && mayExecuteInOutage(agent.orders!, order)) {
		agent.orders = beginOutageOrder(agent.orders!, order);
		agent.asking = order;
		agent.confirmed = false;
	}
};

export const confirmOrder = withAgent((world, {asking, ...agent}) => {
	if (asking && world.confirmableNumber === asking.number && asking.epoch === world.epoch) {
		world.confirmableNumber = undefined;
		world.agents[world.slotHolder!]!.confirmed = !agent.isSent;
	}
});

export const markOrderStarted = withAgent((world, agent) => {
	const {known, orders} = agent;
	if (!known || !mayExecute(orders!, known.row)) {
		return;
	}

	const started = markStarted(known.row, agent.incarnation, makeWriteId(world));
	if (write(world, known.version, started)) {
		agent.orders = beginOrder(orders!, known.row);
		agent.known = {version: known.version + 1, row: started};
		agent.isMarked = true;
	}
});

export const sendToEngine = withAgent((world, agent) => {
	const {asking, confirmed, known, isSent, isMarked} = agent;
	if (agent.orders!.phase !== 'executing' || isSent || !(asking ?? isMarked)) {
		return;
	}

	if (asking && world.fault !== 'sends-unconfirmed' && !maySendInOutage({confirmed, validForMs: 1}, 0)) {
		agent.orders = dropOrder(agent.orders!);
		agent.asking = undefined;
		return;
	}

	const {number, epoch} = asking ?? known!.row;
	assert.not(world.engine.changing, `order ${number} overlaps with ${world.engine.received}`);
	assert.ok(number > world.engine.received, 'an old order');
	if (asking) {
		assert.is(epoch, world.epoch, 'an order without authority');
	} else {
		assert.is(number, world.orderRow!.row.number, 'a superseded order');
	}

	world.engine = {...world.engine, changing: true, received: number};
	agent.isSent = true;
	agent.confirmed = false;
});

export const createAgent = (incarnation: string): Agent => ({
	orders: undefined, incarnation, known: undefined, asking: undefined, confirmed: false, isMarked: false, isSent: false, unrecorded: undefined,
});
