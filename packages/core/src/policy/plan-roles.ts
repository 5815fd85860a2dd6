/**
 * Plans the roles of the engines of one model in one data centre. It proposes at most one change: the one whose gain over
 * the horizon is largest, if the gain exceeds the cost of the change by a margin and has done so for a dwell time. The
 * caller keeps the returned memory and passes it in again; a new planner starts without one.
 */
import {findNearFastest, findNearSlowest} from '../similar-latencies.js';
import {type EngineRole} from './engine-model.js';
import {
	countRoles, coversBothStages, enginesNeeded, servablePart, sumRoles, type CapacityModel, type RoleCounts, type TokenDemand,
} from './role-capacity.js';

export type PlannedEngine = {
	readonly id: string;
	/** The role in force, or the one that a running change leads to. */
	readonly role: EngineRole;
	/** True from the order until the engine has settled in the new role. */
	readonly changing: boolean;
	/** Prompt tokens in its prefix cache, which a change loses. */
	readonly cachedTokens: number;
	/** KV cache of its running requests, which a change has to move or wait for. */
	readonly runningTokens: number;
	/** Time of a decode step when half of its places are taken; absent until it is measured. */
	readonly decodeStepMs?: number;
};

/** What the planner remembers between two calls. */
export type RolePlanMemory = {
	/** When the same kind of change was first found worth it. */
	readonly wantedSinceMs?: number;
	readonly wantedRole?: EngineRole;
	readonly lastChangeMs?: number;
};

export type RolePlanInput = {
	readonly nowMs: number;
	readonly model: CapacityModel;
	/** Engines of the model in this data centre. */
	readonly engines: readonly PlannedEngine[];
	/**
	 * Roles of the model's other engines that entries can use, with orders under way counted as their target: planners that
	 * do not see each other's orders all answer the same swing.
	 */
	readonly elsewhere: RoleCounts;
	/** Demand on all of these engines, averaged over a few seconds. */
	readonly demand: TokenDemand;
	/** Position of this data centre in the order of their names; planners act one after the other. */
	readonly rank: number;
	readonly memory: RolePlanMemory;
	readonly options: RolePlanOptions;
};

export type RolePlanOptions = {
	/** Time over which a change must pay for itself; about half of the time between two swings of the mix. */
	readonly horizonMs: number;
	/** Time that an engine is away for a change. */
	readonly changeMs: number;
	/** The gain must exceed the cost this many times. */
	readonly gainMargin: number;
	/** The change must have been worth it for this long. */
	readonly dwellMs: number;
	/** Added to the dwell time for each rank, so that planners do not act in the same moment. */
	readonly dwellMsPerRank: number;
	/** Time between two changes in one data centre. */
	readonly minIntervalMs: number;
	/** Rate at which KV cache is moved to another engine. */
	readonly kvTokensPerSecond: number;
	/** Smallest gain of a change, in engines over the horizon. */
	readonly minGainEngines: number;
};

export const defaultRolePlanOptions: RolePlanOptions = {
	horizonMs: 60_000,
	changeMs: 6000,
	gainMargin: 1.5,
	dwellMs: 3000,
	dwellMsPerRank: 500,
	minIntervalMs: 10_000,
	kvTokensPerSecond: 200_000,
	minGainEngines: 0.4,
};

export type RoleChange = {
	readonly endpoint: string;
	readonly role: EngineRole;
	/** Gain and cost in engine-seconds of work. */
	readonly gain: number;
	readonly cost: number;
};

export type RolePlan = {
	readonly change?: RoleChange;
	readonly reason: 'changing' | 'change' | 'dwell' | 'interval' | 'no-gain';
	readonly memory: RolePlanMemory;
};

const roles: readonly EngineRole[] = ['mixed', 'prefill', 'decode'];

/** Work served by the engines in engine-seconds a second; more than the demand counts as the demand. */
const servedWork = (input: RolePlanInput, localRoles: readonly EngineRole[]): number => {
	const counts = sumRoles([countRoles(localRoles), input.elsewhere]);
	const needed = enginesNeeded(input.model, input.demand);
	return Math.min(1, servablePart(input.model, input.demand, counts)) * (needed.prefill + needed.decode);
};

const evaluate = (input: RolePlanInput, engine: PlannedEngine, role: EngineRole): RoleChange | undefined => {
	const others = input.engines.filter(({id}) => id !== engine.id).map(({role}) => role);
	if (!coversBothStages(others)) {
		return undefined;
	}

	const {horizonMs, changeMs, kvTokensPerSecond} = input.options;
	const now = servedWork(input, input.engines.map(({role}) => role));
	const whileAway = servedWork(input, others);
	const afterwards = servedWork(input, [...others, role]);
	const cacheSeconds = engine.cachedTokens / input.model.rates.prefillTokensPerSecond;
	const moveSeconds = engine.runningTokens / kvTokensPerSecond;
	return {
		endpoint: engine.id,
		role,
		gain: (afterwards - now) * Math.max(0, horizonMs - changeMs) / 1000,
		cost: ((now - whileAway) * changeMs / 1000) + cacheSeconds + moveSeconds,
	};
};

const net = ({gain, cost}: RoleChange): number => gain - cost;

const isWorthIt = ({gain, cost}: RoleChange, {gainMargin, horizonMs, minGainEngines}: RolePlanOptions): boolean =>
	gain > cost * gainMargin && gain > minGainEngines * horizonMs / 1000;

/**
 * Changes of the engines whose speed suits the role. A stream has the pace of its one engine, while prompts are shared out, so the slow
 * engines prefill and the quick ones decode.
 */
const findSuited = (changes: readonly RoleChange[], engines: readonly PlannedEngine[]): readonly RoleChange[] => {
	const steps = new Map(engines.flatMap(({id, decodeStepMs}) => decodeStepMs === undefined ? [] : [[id, decodeStepMs]]));
	if (changes.length === 0 || changes.some(({endpoint}) => !steps.has(endpoint))) {
		return changes;
	}

	const find = changes[0]!.role === 'prefill' ? findNearSlowest : findNearFastest;
	return find(changes, ({endpoint}) => steps.get(endpoint)!);
};

const findBest = (input: RolePlanInput): RoleChange | undefined => {
	const changes = input.engines
		.flatMap(engine => roles.filter(role => role !== engine.role).map(role => evaluate(input, engine, role)))
		.filter(change => change !== undefined)
		.filter(change => isWorthIt(change, input.options))
		.toSorted((a, b) => net(b) - net(a));
	const best = changes[0];
	// The same change of another engine serves as many requests; only its cost may differ.
	return findSuited(changes.filter(({role, gain}) => role === best!.role && gain >= best!.gain), input.engines)[0];
};

/** Proposes the next role change of the data centre, or none. */
export const planRoles = (input: RolePlanInput): RolePlan => {
	const {memory, nowMs, options} = input;
	const idle = {lastChangeMs: memory.lastChangeMs};
	if (input.engines.some(({changing}) => changing)) {
		return {reason: 'changing', memory: idle};
	}

	const best = findBest(input);
	if (!best) {
		return {reason: 'no-gain', memory: idle};
	}

	const wantedSinceMs = memory.wantedRole === best.role ? memory.wantedSinceMs ?? nowMs : nowMs;
	const waiting = {...idle, wantedSinceMs, wantedRole: best.role};
	if (nowMs - wantedSinceMs < options.dwellMs + (options.dwellMsPerRank * input.rank)) {
		return {reason: 'dwell', memory: waiting};
	}

	if (memory.lastChangeMs !== undefined && nowMs - memory.lastChangeMs < options.minIntervalMs) {
		return {reason: 'interval', memory: waiting};
	}

	return {reason: 'change', change: best, memory: {lastChangeMs: nowMs}};
};
