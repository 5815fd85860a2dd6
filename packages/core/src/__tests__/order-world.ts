/**
 * A table, an engine, two agents and the planners of two epochs, for random schedules of engine orders.
 */
import * as assert from 'uvu/assert';
import {
	beginOrder,
	beginOutageOrder,
	decideMessage,
	dropOrder,
	findLastOrder,
	finishOrder,
	initialOrders,
	learnRow,
	markStarted,
	mayExecute,
	mayExecuteInOutage,
	maySendInOutage,
	maySettle,
	nextOrderNumber,
	recordOrder,
	type IssuedOrder as IssuedOrdererence,
	type EngineOrderRow,
	type EngineOrders,
} from '../index.js';

type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};

type Agent = {
	/** An agent that does not run has no orders; one that waits for the slot has not learnt anything. */
	orders: EngineOrders | undefined;
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
	slot: number | undefined;
	table: VersionedRow | undefined;
	readonly agents: Agent[];
	engine: {changing: boolean; received: number; lastOrder: number; role: 'mixed'};
	writes: number;
	/** Epoch of the planner in charge; the former one can still send messages and late writes. */
	epoch: number;
	highestPlanned: number;
	/** Orders of outages, whose messages may arrive late and again, and the one that would be confirmed now. */
	readonly sent: IssuedOrdererence[];
	unconfirmed: number | undefined;
	/** Writes of planners that may still take effect. */
	readonly lateWrites: VersionedRow[];
	/** The planted fault. */
	readonly fault: Fault | undefined;
};

const write = (world: World, version: number, row: EngineOrderRow): boolean => {
	if ((world.table?.version ?? 0) !== version) {
		return false;
	}

	world.table = {version: version + 1, row};
	return true;
};

const makeWriteId = (world: World): string => {
	world.writes += 1;
	return `w${world.writes}`;
};

const plan = (world: World): IssuedOrdererence => {
	world.highestPlanned = nextOrderNumber(world.epoch, Math.max(world.highestPlanned, world.table?.row.number ?? 0));
	return {number: world.highestPlanned, epoch: world.epoch, role: 'mixed'};
};

/** The planner's write, which takes effect now or later: only while no order is started. */
export const planRow = (world: World): void => {
	if (world.table?.row.state !== 'started') {
		world.lateWrites.push({
			version: world.table?.version ?? 0,
			row: {
				...plan(world), state: 'written', startedBy: '', writeId: makeWriteId(world),
			},
		});
	}
};

export const finishWrite = (world: World): void => {
	const late = world.lateWrites.shift();
	if (late?.row.epoch === world.epoch) {
		write(world, late.version, late.row);
	}
};

export const planInOutage = (world: World): void => {
	const order = plan(world);
	world.sent.push(order);
	world.unconfirmed = order.number;
};

/** The authority of the former planner and its confirmations have run out by then. */
export const takeOver = (world: World): void => {
	world.epoch += 1;
	world.unconfirmed = undefined;
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
	if (maySettle(engine)) {
		agent.known = world.table;
		agent.orders = learnRow(world.table?.row, engine);
		agent.unrecorded = findLastOrder(world.table?.row, engine);
	}
};

export const start = (world: World, index: number): void => {
	const agent = world.agents[index]!;
	agent.orders ??= initialOrders;
	world.slot ??= index;

	if (world.slot === index && agent.orders.phase === 'unknown') {
		learn(world, agent);
	}
};

export const kill = (world: World, index: number): void => {
	world.agents[index] = createAgent(world.agents[index]!.incarnation);
	if (world.slot === index) {
		world.slot = undefined;
	}
};

/** Runs a step of the agent that holds the slot; a paused agent just has no steps. */
const withAgent = (act: (world: World, agent: Agent) => void) => (world: World, index: number): void => {
	if (world.slot === index) {
		act(world, world.agents[index]!);
	}
};

export const settle = withAgent((world, agent) => {
	if (agent.orders!.phase === 'executing' && agent.isSent && maySettle(world.engine)) {
		agent.unrecorded = agent.asking ?? agent.known!.row;
		agent.orders = finishOrder(agent.orders!);
		agent.asking = undefined;
		agent.isSent = false;
		agent.isMarked = false;
	}
});

export const record = withAgent((world, agent) => {
	const row = agent.unrecorded && recordOrder(world.table?.row, agent.unrecorded, agent.incarnation, makeWriteId(world));
	agent.unrecorded = undefined;
	if (row) {
		write(world, world.table?.version ?? 0, row);
	}
});

export const receive = withAgent((world, agent) => {
	const {table} = world;
	if (table && decideMessage(agent.orders!, table.row.number) === 'read-row' && mayExecute(agent.orders!, table.row)) {
		agent.known = table;
		agent.isMarked = false;
	}
});

export const receiveInOutage = (world: World, index: number, message: number): void => {
	const agent = world.agents[index]!;
	const order = world.sent[world.sent.length - 1 - message];
	if (world.slot === index && order && mayExecuteInOutage(agent.orders!, order)) {
		agent.orders = beginOutageOrder(agent.orders!, order);
		agent.asking = order;
		agent.confirmed = false;
	}
};

export const confirm = withAgent((world, {asking, ...agent}) => {
	if (asking && world.unconfirmed === asking.number && asking.epoch === world.epoch) {
		world.unconfirmed = undefined;
		world.agents[world.slot!]!.confirmed = !agent.isSent;
	}
});

export const mark = withAgent((world, agent) => {
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
		assert.is(number, world.table!.row.number, 'a superseded order');
	}

	world.engine = {...world.engine, changing: true, received: number};
	agent.isSent = true;
	agent.confirmed = false;
});

export const createAgent = (incarnation: string): Agent => ({
	orders: undefined, incarnation, known: undefined, asking: undefined, confirmed: false, isMarked: false, isSent: false, unrecorded: undefined,
});
