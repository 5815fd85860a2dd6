import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	beginOrder, decideMessage, finishOrder, initialOrders, learnRow, markSettled, markStarted, mayExecute, maySettle, type EngineOrderRow, type EngineOrders,
} from '../index.js';
import {findViolation, stepKind} from './schedules.js';

type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};

type Agent = {
	/** An agent that does not run has no orders; one that waits for the slot has not learnt anything. */
	orders: EngineOrders | undefined;
	readonly incarnation: string;
	/** The row as this agent last read or wrote it. */
	known: VersionedRow | undefined;
	isMarked: boolean;
	isSent: boolean;
};

type World = {
	/** Which agent holds the slot port. */
	slot: number | undefined;
	table: VersionedRow | undefined;
	readonly agents: Agent[];
	engine: {changing: boolean; lastOrder: number};
	writes: number;
	/** The planted fault: an agent that has just started does not wait for the engine before it settles the row. */
	readonly settlesAtOnce: boolean;
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

/** The planner's write: only while no order is started. */
const plan = (world: World): void => {
	const {table} = world;
	if (table?.row.state !== 'started') {
		write(world, table?.version ?? 0, {
			number: (table?.row.number ?? 0) + 1, epoch: 1, role: 'mixed', state: 'written', startedBy: '', writeId: makeWriteId(world),
		});
	}
};

const learn = (world: World, agent: Agent): void => {
	agent.known = world.table;
	agent.orders = learnRow(world.table?.row);
};

const start = (world: World, index: number): void => {
	const agent = world.agents[index]!;
	agent.orders ??= initialOrders;
	if (world.slot === undefined) {
		world.slot = index;
		learn(world, agent);
	}
};

const kill = (world: World, index: number): void => {
	const agent = world.agents[index]!;
	agent.orders = undefined;
	agent.isMarked = false;
	agent.isSent = false;
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

const settle = withAgent((world, agent) => {
	const isSettling = agent.orders!.phase === 'settling';
	const isDue = isSettling || (agent.orders!.phase === 'executing' && agent.isSent);
	const mayWrite = (isSettling && world.settlesAtOnce) || maySettle(world.engine);
	if (!isDue || !mayWrite) {
		return;
	}

	agent.isSent = false;
	agent.isMarked = false;
	if (write(world, agent.known!.version, markSettled(agent.known!.row, makeWriteId(world)))) {
		agent.orders = finishOrder(agent.orders!);
	} else {
		learn(world, agent);
	}
});

const receive = withAgent((world, agent) => {
	const {table} = world;
	if (table && decideMessage(agent.orders!, table.row.number) === 'read-row' && mayExecute(agent.orders!, table.row)) {
		agent.known = table;
		agent.isMarked = false;
	}
});

const mark = withAgent((world, agent) => {
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

const sendToEngine = withAgent((world, agent) => {
	if (agent.orders!.phase !== 'executing' || !agent.isMarked || agent.isSent) {
		return;
	}

	const {number} = agent.known!.row;
	assert.not(world.engine.changing, `order ${number} overlaps with ${world.engine.lastOrder}`);
	assert.ok(number > world.engine.lastOrder, 'an old order');
	assert.is(number, world.table!.row.number, 'a superseded order');
	world.engine = {changing: true, lastOrder: number};
	agent.isSent = true;
});

const createAgent = (incarnation: string): Agent => ({
	orders: undefined, incarnation, known: undefined, isMarked: false, isSent: false,
});

const search = (settlesAtOnce: boolean): string | undefined => findViolation<World>({
	seed: 20_263,
	runs: 3000,
	steps: 150,
	createWorld: () => ({
		slot: undefined,
		table: undefined,
		agents: [createAgent('a'), createAgent('b')],
		engine: {changing: false, lastOrder: 0},
		writes: 0,
		settlesAtOnce,
	}),
	kinds: [
		stepKind('plan', [], plan),
		stepKind('start', [2], start),
		stepKind('receive', [2], receive),
		stepKind('mark', [2], mark),
		stepKind('send', [2], sendToEngine),
		stepKind('settle', [2], settle),
		stepKind('kill', [2], kill),
		stepKind('order', [2], (world, index) => {
			receive(world, index);
			mark(world, index);
			sendToEngine(world, index);
		}),
		// Engines change slowly, so that much can happen during a change.
		stepKind('engine finishes', [5], (world, chance) => {
			world.engine.changing &&= chance !== 0;
		}),
	],
	check(world) {
		const executing = world.agents.filter(({orders}) => orders?.phase === 'executing');
		assert.ok(executing.length <= 1, 'two agents execute');
	},
});

describe('engine orders under random schedules', () => {
	it('sends one order at a time, in order and never a superseded one, through restarts of two agents', () => {
		assert.is(search(false), undefined);
	});

	it('would notice an agent that settles what its predecessor started while the engine still changes', () => {
		assert.match(search(true) ?? '', 'overlaps');
	});
});
