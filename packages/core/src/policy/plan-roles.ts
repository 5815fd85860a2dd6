/**
 * Plans the roles of the engines of one model in one data centre. It proposes at most one change: the one with the largest
 * net gain over the horizon, if a change to that role has been worthwhile for a dwell time, with a gain that exceeds the cost
 * by a margin. The caller passes the returned memory to the next call. A new planner starts with an empty memory.
 */
import {findNearFastest, findNearSlowest} from '../similar-latencies.js';
import {type EngineRole} from './engine-model.js';
import {
	countRoles, coversBothStages, enginesNeeded, servableFraction, sumRoles, type CapacityModel, type RoleCounts, type TokenDemand,
} from './role-capacity.js';

export type PlannedEngine = {
	readonly id: string;
	/** The current role, or the new role while a change is running. */
	readonly role: EngineRole;
	/** True from the order until the engine has the new role. */
	readonly isChanging: boolean;
	/** Prompt tokens in its prefix cache. A role change drops them. */
	readonly cachedTokens: number;
	/** Tokens of KV cache of its running requests. A role change has to move them or wait for their end. */
	readonly runningTokens: number;
	/** Duration of a decode step with half of its slots in use. Absent until it is measured. */
	readonly decodeStepMs?: number;
};

/** State of the planner, which the caller passes from one call to the next. */
export type RolePlanMemory = {
	/** Time since which a change to `pendingRole` has been worthwhile. */
	readonly pendingSinceMs?: number;
	readonly pendingRole?: EngineRole;
	readonly lastChangeMs?: number;
};

export type RolePlanInput = {
	readonly nowMs: number;
	readonly model: CapacityModel;
	/** Engines of the model in this data centre. */
	readonly engines: readonly PlannedEngine[];
	/**
	 * Role counts of the model's other engines that entries can use. An engine with an outstanding order counts as its new
	 * role: otherwise all planners would react to the same shift of the demand.
	 */
	readonly otherEngines: RoleCounts;
	/** Demand on all engines of the model, averaged over a few seconds. */
	readonly demand: TokenDemand;
	/** Index of this data centre in the order of names, so that the planners act one after the other. */
	readonly rank: number;
	readonly memory: RolePlanMemory;
	readonly options: RolePlanOptions;
};

export type RolePlanOptions = {
	/** Time in which the gain of a change must exceed its cost. It is about half of the time between two shifts of the mix of requests. */
	readonly horizonMs: number;
	/** Time for which an engine serves no requests during a change. */
	readonly changeMs: number;
	/** Minimum ratio of the gain to the cost. */
	readonly minGainToCostRatio: number;
	/** Time for which a change must have been worthwhile. */
	readonly dwellMs: number;
	/** Addition to the dwell time for each rank, so that planners do not act at the same time. */
	readonly dwellMsPerRank: number;
	/** Minimum time between two changes in one data centre. */
	readonly minIntervalMs: number;
	/** Rate at which KV cache is transferred to another engine. */
	readonly kvTokensPerSecond: number;
	/** Minimum gain of a change, as a number of engines that work over the whole horizon. */
	readonly minGainEngines: number;
};

export const defaultRolePlanOptions: RolePlanOptions = {
	horizonMs: 60_000,
	changeMs: 6000,
	minGainToCostRatio: 1.5,
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

/** Work that the engines serve, in engine-seconds per second, at most the demand. */
const servedWork = (input: RolePlanInput, localRoles: readonly EngineRole[]): number => {
	const counts = sumRoles([countRoles(localRoles), input.otherEngines]);
	const needed = enginesNeeded(input.model, input.demand);
	return Math.min(1, servableFraction(input.model, input.demand, counts)) * (needed.prefill + needed.decode);
};

const evaluate = (input: RolePlanInput, engine: PlannedEngine, role: EngineRole): RoleChange | undefined => {
	const others = input.engines.filter(({id}) => id !== engine.id).map(({role}) => role);
	if (!coversBothStages(others)) {
		return undefined;
	}

	const {horizonMs, changeMs, kvTokensPerSecond} = input.options;
	const now = servedWork(input, input.engines.map(({role}) => role));
	const duringChange = servedWork(input, others);
	const afterwards = servedWork(input, [...others, role]);
	const cacheSeconds = engine.cachedTokens / input.model.rates.prefillTokensPerSecond;
	const moveSeconds = engine.runningTokens / kvTokensPerSecond;
	return {
		endpoint: engine.id,
		role,
		gain: (afterwards - now) * Math.max(0, horizonMs - changeMs) / 1000,
		cost: ((now - duringChange) * changeMs / 1000) + cacheSeconds + moveSeconds,
	};
};

const netGain = ({gain, cost}: RoleChange): number => gain - cost;

const isWorthwhile = ({gain, cost}: RoleChange, {minGainToCostRatio, horizonMs, minGainEngines}: RolePlanOptions): boolean =>
	gain > cost * minGainToCostRatio && gain > minGainEngines * horizonMs / 1000;

/**
 * Changes of the engines whose speed suits the role. A stream has the speed of its one engine, while prompts are distributed over all
 * prefill engines, so the slow engines prefill and the fast ones decode.
 */
const selectBySpeed = (changes: readonly RoleChange[], engines: readonly PlannedEngine[]): readonly RoleChange[] => {
	const stepMsById = new Map(engines.flatMap(({id, decodeStepMs}) => decodeStepMs === undefined ? [] : [[id, decodeStepMs]]));
	if (changes.length === 0 || changes.some(({endpoint}) => !stepMsById.has(endpoint))) {
		return changes;
	}

	const find = changes[0]!.role === 'prefill' ? findNearSlowest : findNearFastest;
	return find(changes, ({endpoint}) => stepMsById.get(endpoint)!);
};

const findBest = (input: RolePlanInput): RoleChange | undefined => {
	const changes = input.engines
		.flatMap(engine => roles.filter(role => role !== engine.role).map(role => evaluate(input, engine, role)))
		.filter(change => change !== undefined)
		.filter(change => isWorthwhile(change, input.options))
		.toSorted((a, b) => netGain(b) - netGain(a));
	const best = changes[0];
	// The same change of another engine serves as many requests, and only its cost may differ.
	return selectBySpeed(changes.filter(({role, gain}) => role === best!.role && gain >= best!.gain), input.engines)[0];
};

/** Proposes the next role change of the data centre, if one is worthwhile. */
export const planRoles = (input: RolePlanInput): RolePlan => {
	const {memory, nowMs, options} = input;
	const unchangedMemory = {lastChangeMs: memory.lastChangeMs};
	if (input.engines.some(({isChanging: changing}) => changing)) {
		return {reason: 'changing', memory: unchangedMemory};
	}

	const best = findBest(input);
	if (!best) {
		return {reason: 'no-gain', memory: unchangedMemory};
	}

	const pendingSinceMs = memory.pendingRole === best.role ? memory.pendingSinceMs ?? nowMs : nowMs;
	const pendingMemory = {...unchangedMemory, pendingSinceMs, pendingRole: best.role};
	if (nowMs - pendingSinceMs < options.dwellMs + (options.dwellMsPerRank * input.rank)) {
		return {reason: 'dwell', memory: pendingMemory};
	}

	if (memory.lastChangeMs !== undefined && nowMs - memory.lastChangeMs < options.minIntervalMs) {
		return {reason: 'interval', memory: pendingMemory};
	}

	return {reason: 'change', change: best, memory: {lastChangeMs: nowMs}};
};
