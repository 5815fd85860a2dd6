/**
 * Decides which role, prefill or decode, needs one more engine of a service. An engine is unavailable for seconds while its role
 * changes, so a change is made only for a lasting imbalance. Idle engines are divided before the first request arrives.
 */
import type {EndpointRole} from './deployment.js';

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
};

/** State kept from one decision to the next. */
export type RoleBalanceState = {
	readonly neededRole?: EndpointRole;
	readonly neededSinceMs?: number;
	readonly lastChangeMs?: number;
	/** Engines that took work at the time of the last decision. */
	readonly engineCount?: number;
	/** When an engine was last lost. */
	readonly lastLossMs?: number;
};

export type RoleDecision = {readonly change?: EndpointRole; readonly state: RoleBalanceState};

/**
 * Fraction of idle engines that get the prefill role, rounded down. A decode engine can also prefill, at less than half the speed, but a
 * prefill engine can't decode, so decode gets the odd engine.
 */
const idlePrefillFraction = 0.5;
/** Fraction of a decode engine's full token rate that is usable at an even load; above it, its streams slow down quickly. */
const usableDecodeFraction = 0.8;
/** Load of a role above which it is overloaded. */
const overloadThreshold = 0.9;
/** A change is worthwhile only if the best division lowers the load of the more loaded role to this fraction or less. */
const maxRemainingLoadFraction = 0.7;
/** Above this load requests are lost, so a change pays even for a short imbalance. */
const severeOverloadThreshold = 2;
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

/** Load of the more loaded role with the given number of engines in each role. */
const maxRoleLoad = ({prefillNeeded, decodeNeeded}: RoleBalance, prefill: number, decode: number): number =>
	Math.max(prefillNeeded / Math.max(0.1, prefill), decodeNeeded / Math.max(0.1, decode * usableDecodeFraction));

/** Number of prefill engines that minimises the load of the more loaded role. */
const bestPrefillCount = (balance: RoleBalance): number => {
	const engines = balance.prefill + balance.decode;
	let best = balance.prefill;
	for (let prefill = 1; prefill < engines; prefill += 1) {
		if (maxRoleLoad(balance, prefill, engines - prefill) < maxRoleLoad(balance, best, engines - best)) {
			best = prefill;
		}
	}

	return best;
};

const findNeededRole = (balance: RoleBalance): EndpointRole | undefined => {
	const {prefill, decode, isIdle} = balance;
	if (decode === 0 && prefill > 0) {
		return 'decode';
	}

	if (isIdle) {
		return prefill < Math.floor((prefill + decode) * idlePrefillFraction) ? 'prefill' : undefined;
	}

	const currentLoad = maxRoleLoad(balance, prefill, decode);
	const bestPrefill = bestPrefillCount(balance);
	if (currentLoad < overloadThreshold || bestPrefill === prefill || maxRoleLoad(balance, bestPrefill, prefill + decode - bestPrefill) > currentLoad * maxRemainingLoadFraction) {
		return undefined;
	}

	return bestPrefill > prefill ? 'prefill' : 'decode';
};

/** Time of the last loss of an engine. An engine whose role is changing is still counted, so a role change is not a loss. */
const findLastLossMs = ({nowMs, prefill, decode}: RoleBalance, {engineCount, lastLossMs}: RoleBalanceState): number | undefined =>
	engineCount !== undefined && prefill + decode < engineCount ? nowMs : lastLossMs;

const minDwell = (isSevere: boolean, sinceLossMs: number): {readonly dwellMs: number; readonly intervalMs: number} => {
	if (sinceLossMs < lossMemoryMs) {
		return {dwellMs: dwellAfterLossMs, intervalMs: 0};
	}

	return isSevere ? {dwellMs: severeDwellMs, intervalMs: severeIntervalMs} : {dwellMs, intervalMs: minIntervalMs};
};

/** Decides whether one engine changes its role, and to which role. */
export const balanceRoles = (balance: RoleBalance, state: RoleBalanceState): RoleDecision => {
	const {nowMs, isIdle, prefill, decode} = balance;
	const neededRole = findNeededRole(balance);
	const lastLossMs = findLastLossMs(balance, state);
	const nextState = {lastChangeMs: state.lastChangeMs, engineCount: prefill + decode, lastLossMs};
	if (neededRole === undefined) {
		return {state: nextState};
	}

	const neededSinceMs = state.neededRole === neededRole ? state.neededSinceMs ?? nowMs : nowMs;
	const dwell = minDwell(maxRoleLoad(balance, prefill, decode) > severeOverloadThreshold, nowMs - (lastLossMs ?? Number.NEGATIVE_INFINITY));
	const isLasting = nowMs - neededSinceMs >= dwell.dwellMs
		&& nowMs - (state.lastChangeMs ?? Number.NEGATIVE_INFINITY) >= dwell.intervalMs;
	return isIdle || decode === 0 || isLasting
		? {change: neededRole, state: {...nextState, lastChangeMs: nowMs, lastLossMs: undefined}}
		: {state: {...nextState, neededRole, neededSinceMs}};
};
