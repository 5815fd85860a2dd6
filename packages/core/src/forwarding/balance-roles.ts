/**
 * Decides which engines of a service change between the roles prefill and decode. An engine is unavailable for seconds while its role
 * changes, so a change is made only for a lasting imbalance, and only if what callers save in expected waiting over the time that the mix
 * lasts exceeds what the engines that are away cost them. The expected waiting is that of all demand of the last half minute, because
 * a mix that has just swung one way is likely to swing back. Several engines change at once when several are short.
 * Idle engines are divided before the first request arrives.
 */
import type {EndpointRole} from './deployment.js';
import {
	expectedWaitMs, findBestDivision, usableDecodeFraction, type RoleDemand, type RoleDivision, type ServiceDemand,
} from './role-waits.js';

export type RoleBalance = {
	readonly nowMs: number;
	/** Engines that take work, by role; an engine whose role is changing counts for its new role. */
	readonly prefill: number;
	readonly decode: number;
	/** Prefill engines that the demand of the last seconds would keep busy. */
	readonly prefillNeeded: number;
	/** Decode engines that the demand of the last seconds would keep busy with all their slots in use. */
	readonly decodeNeeded: number;
	readonly isIdle: boolean;
	/** Streams are still accumulating after an idle time, so `decodeNeeded` is an upper bound. */
	readonly isFilling?: boolean;
	/** Mean work and squared coefficient of variation of the prompts. */
	readonly prompts?: Omit<RoleDemand, 'neededEngines'>;
	/** The same of the streams; the work is the time of a stream divided by the slots of an engine. */
	readonly streams?: Omit<RoleDemand, 'neededEngines'>;
};

/** Demand at one moment. */
export type DemandSample = {readonly atMs: number; readonly demand: ServiceDemand; readonly isFilling: boolean};

/** State kept from one decision to the next. */
export type RoleBalanceState = {
	readonly neededRole?: EndpointRole;
	readonly neededSinceMs?: number;
	readonly lastChangeMs?: number;
	/** When the engines were last idle. */
	readonly lastIdleMs?: number;
	/** Demand of the last `historyMs`, one sample for each `sampleIntervalMs`, oldest first. */
	readonly history?: readonly DemandSample[];
	/** Engines that took work at the time of the last decision. */
	readonly engineCount?: number;
	/** When an engine was last lost. */
	readonly lastLossMs?: number;
};

/** `count` engines are to change to the role `change`. */
export type RoleDecision = {readonly change?: EndpointRole; readonly count: number; readonly state: RoleBalanceState};

/**
 * Fraction of idle engines that get the prefill role, rounded down. A decode engine can also prefill, at less than half the speed, but a
 * prefill engine can't decode, so decode gets the odd engine.
 */
const idlePrefillFraction = 0.5;
/** Assumed demand of prompts and streams until requests have shown it. */
const assumedPrompts = {serviceMs: 40, squaredVariation: 3};
const assumedStreams = {serviceMs: 30, squaredVariation: 1};
/** A change is worthwhile only if it shortens the expected wait by this time... */
const minGainMs = 100;
/** ...and to this fraction or less. */
const maxRemainingWaitFraction = 0.7;
/** The mix of requests swings back and forth within about this time. */
const historyMs = 30_000;
const sampleIntervalMs = 1000;
/** Time for which the present mix is expected to last, and for which a changing engine is away. */
const mixLastsMs = 15_000;
const changeTakesMs = 4000;
/**
 * With less load, streams find slots, and another decode engine would gain them little; an engine that stops prefilling loses its cached prompts
 * for that.
 */
const minDecodeLoad = 0.8;
/** Beyond this load of a role requests are lost, so a change pays even for a short imbalance. */
const severeOverload = 2;
/** A change for an overload must lower the load of the more loaded role to this fraction or less. */
const maxRemainingLoadFraction = 0.7;
/** How long an imbalance must last. Shorter ones end before a change has been carried out. */
const dwellMs = 4000;
const severeDwellMs = 1200;
/** Minimum time between two changes, because an engine that soon changes back would be unavailable twice. */
const minIntervalMs = 15_000;
const severeIntervalMs = 6000;
/** After a loss of engines the remaining ones are divided soon: the demand has not changed, and most losses are permanent. */
const dwellAfterLossMs = 600;
/** A loss longer ago than this no longer shortens the dwell time. */
const lossMemoryMs = 4000;
/** Idle engines are divided without knowledge of the mix, so the first demand after it is followed soon. */
const dwellAfterIdleMs = 2500;
const idleMemoryMs = 10_000;
/** Fraction of the engines that may change at the same time while there is work. */
const maxChangingFraction = 0.15;

const demandOf = ({
	prefillNeeded, decodeNeeded, prompts = assumedPrompts, streams = assumedStreams,
}: RoleBalance): ServiceDemand => ({
	prefill: {neededEngines: prefillNeeded, ...prompts},
	decode: {neededEngines: decodeNeeded, ...streams},
});

const prefillLoad = ({prefill, prefillNeeded}: RoleBalance): number => prefillNeeded / Math.max(0.1, prefill);

const decodeLoad = ({decode, decodeNeeded}: RoleBalance): number => decodeNeeded / Math.max(0.1, decode * usableDecodeFraction);

/** Load of the more loaded role. */
const maxRoleLoad = (balance: RoleBalance): number => Math.max(prefillLoad(balance), decodeLoad(balance));

/** Most engines of a service that may change their role at the same time while there is work. */
export const maxRoleChanges = (engines: number): number => Math.max(1, Math.floor(engines * maxChangingFraction));

const sampleDemand = (balance: RoleBalance, history: readonly DemandSample[]): readonly DemandSample[] => {
	const {nowMs, isIdle, isFilling = false} = balance;
	// Once the number of running streams is known, it replaces the upper bounds.
	const recent = history.filter(sample => nowMs - sample.atMs < historyMs && (isFilling || !sample.isFilling));
	const isDue = nowMs - (recent.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY) >= sampleIntervalMs;
	return isDue && !isIdle ? [...recent, {atMs: nowMs, demand: demandOf(balance), isFilling}] : recent;
};

/** Whether the shorter waits after a change outweigh the longer ones while the engines are away. */
const isWorthwhile = (demands: readonly ServiceDemand[], current: RoleDivision, next: RoleDivision): boolean => {
	const currentMs = expectedWaitMs(demands, current);
	const nextMs = expectedWaitMs(demands, next);
	const duringMs = expectedWaitMs(demands, {prefill: Math.min(current.prefill, next.prefill), decode: Math.min(current.decode, next.decode)});
	return currentMs - nextMs >= minGainMs
		&& nextMs <= currentMs * maxRemainingWaitFraction
		&& (currentMs - nextMs) * mixLastsMs > (duringMs - currentMs) * changeTakesMs;
};

type NeededChange = {readonly role: EndpointRole; readonly count: number};

const findIdleChange = ({prefill, decode}: RoleBalance): NeededChange | undefined =>
	prefill < Math.floor((prefill + decode) * idlePrefillFraction) ? {role: 'prefill', count: 1} : undefined;

/** The largest worthwhile step towards the best division. */
const findLoadedChange = ({prefill, decode, decodeNeeded, isFilling = false}: RoleBalance, history: readonly DemandSample[]): NeededChange | undefined => {
	const current = {prefill, decode};
	const demands = history.map(({demand}) => demand);
	const step = findBestDivision(demands, current).prefill - prefill;
	const role = step > 0 ? 'prefill' : 'decode';
	if (role === 'decode' && (isFilling || decodeNeeded < decode * minDecodeLoad)) {
		return undefined;
	}

	for (let count = Math.min(Math.abs(step), maxRoleChanges(prefill + decode)); count > 0; count -= 1) {
		const moved = role === 'prefill' ? count : -count;
		if (isWorthwhile(demands, current, {prefill: prefill + moved, decode: decode - moved})) {
			return {role, count};
		}
	}

	return undefined;
};

/**
 * A change of one engine that relieves a role far beyond its capacity. The waits of two overloaded roles hardly differ by the division, but with one
 * role much worse off than the other, as after a loss of its engines, nearly all of its requests are lost.
 */
const findOverloadChange = (balance: RoleBalance): NeededChange | undefined => {
	const {prefill, decode} = balance;
	const currentLoad = maxRoleLoad(balance);
	const role = prefillLoad(balance) < decodeLoad(balance) ? 'decode' : 'prefill';
	const moved = role === 'prefill' ? 1 : -1;
	const next = {...balance, prefill: prefill + moved, decode: decode - moved};
	const isPossible = next.prefill > 0 && next.decode > 0;
	return isPossible && currentLoad > severeOverload && maxRoleLoad(next) <= currentLoad * maxRemainingLoadFraction ? {role, count: 1} : undefined;
};

const findNeededChange = (balance: RoleBalance, history: readonly DemandSample[]): NeededChange | undefined => {
	if (balance.decode === 0 && balance.prefill > 0) {
		return {role: 'decode', count: 1};
	}

	return balance.isIdle ? findIdleChange(balance) : findLoadedChange(balance, history) ?? findOverloadChange(balance);
};

/** Time of the last loss of an engine. An engine whose role is changing is still counted, so a role change is not a loss. */
const findLastLossMs = ({nowMs, prefill, decode}: RoleBalance, {engineCount, lastLossMs}: RoleBalanceState): number | undefined =>
	engineCount !== undefined && prefill + decode < engineCount ? nowMs : lastLossMs;

const hasPassed = (sinceMs: number | undefined, nowMs: number, limitMs: number): boolean => sinceMs === undefined || nowMs - sinceMs >= limitMs;

const minDwell = (balance: RoleBalance, lastLossMs: number | undefined, {lastIdleMs}: RoleBalanceState): {readonly dwellMs: number; readonly intervalMs: number} => {
	const {nowMs} = balance;
	if (!hasPassed(lastLossMs, nowMs, lossMemoryMs)) {
		return {dwellMs: dwellAfterLossMs, intervalMs: 0};
	}

	if (!hasPassed(lastIdleMs, nowMs, idleMemoryMs)) {
		return {dwellMs: dwellAfterIdleMs, intervalMs: severeIntervalMs};
	}

	return maxRoleLoad(balance) > severeOverload ? {dwellMs: severeDwellMs, intervalMs: severeIntervalMs} : {dwellMs, intervalMs: minIntervalMs};
};

/** Decides whether engines change their role, how many, and to which role. */
export const balanceRoles = (balance: RoleBalance, state: RoleBalanceState): RoleDecision => {
	const {nowMs, isIdle, prefill, decode} = balance;
	const history = sampleDemand(balance, state.history ?? []);
	const needed = findNeededChange(balance, history);
	const lastLossMs = findLastLossMs(balance, state);
	const nextState = {
		lastChangeMs: state.lastChangeMs, engineCount: prefill + decode, lastLossMs, lastIdleMs: isIdle ? nowMs : state.lastIdleMs, history,
	};
	if (needed === undefined) {
		return {count: 0, state: nextState};
	}

	const {role, count} = needed;
	if (isIdle || decode === 0) {
		return {change: role, count, state: {...nextState, lastLossMs: undefined}};
	}

	const neededSinceMs = state.neededRole === role ? state.neededSinceMs ?? nowMs : nowMs;
	const dwell = minDwell(balance, lastLossMs, state);
	return nowMs - neededSinceMs >= dwell.dwellMs && hasPassed(state.lastChangeMs, nowMs, dwell.intervalMs)
		? {change: role, count, state: {...nextState, lastChangeMs: nowMs, lastLossMs: undefined}}
		: {count: 0, state: {...nextState, neededRole: role, neededSinceMs}};
};
