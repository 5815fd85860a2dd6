/**
 * Decides which role too few engines of a service have. An engine is away for seconds while its role changes, so a change
 * is made only for a lasting imbalance; engines that nobody uses yet are divided before the first request comes.
 */
import type {EndpointRole} from './deployment.js';

export type RoleBalance = {
	readonly nowMs: number;
	/** Engines that take work, by role; one whose role changes counts as its new role. */
	readonly prefill: number;
	readonly decode: number;
	/** Prefill engines that the demand of the last seconds keeps busy. */
	readonly prefillNeeded: number;
	/** Decode engines that the demand of the last seconds keeps busy, each with all its places. */
	readonly decodeNeeded: number;
	readonly isIdle: boolean;
};

/** What is remembered between two decisions. */
export type RoleBalanceState = {
	readonly neededRole?: EndpointRole;
	readonly neededSinceMs?: number;
	readonly lastChangeMs?: number;
	/** Engines that took work at the last decision. */
	readonly engineCount?: number;
	/** When an engine was last lost. */
	readonly lastLossMs?: number;
};

export type RoleDecision = {readonly change?: EndpointRole; readonly state: RoleBalanceState};

/**
 * Part of the engines that prefill before any demand is known. A decode engine can prefill, at less than half the speed,
 * but not the other way round, so decode gets the odd one.
 */
const idlePrefillPart = 0.5;
/** Part of a full decode engine's tokens that is used at an even load; beyond it, its streams slow down quickly. */
const decodeUse = 0.8;
/** A role above this load is crowded. */
const crowdedLoad = 0.9;
/** The best division must lower the load of the more crowded role to this part at least. */
const worthwhilePart = 0.7;
/** At such a load requests are lost, so that even a short change pays. */
const severeLoad = 2;
/** Swings of the mix that last shorter are over before a change has been carried out. */
const dwellMs = 4000;
const severeDwellMs = 1200;
/** An engine that changes back at once would be away twice. */
const minIntervalMs = 15_000;
const severeIntervalMs = 6000;
/** After the loss of engines, what is left is divided at once: the mix has not changed, and most losses are for good. */
const lossDwellMs = 600;
/** A loss that is longer ago is no reason for a change any more. */
const lossMs = 4000;

/** Load of the more crowded role with so many engines in each. */
const crowdedOf = ({prefillNeeded, decodeNeeded}: RoleBalance, prefill: number, decode: number): number =>
	Math.max(prefillNeeded / Math.max(0.1, prefill), decodeNeeded / Math.max(0.1, decode * decodeUse));

/** Number of prefill engines with which the more crowded role is least crowded. */
const findBestPrefill = (balance: RoleBalance): number => {
	const engines = balance.prefill + balance.decode;
	let best = balance.prefill;
	for (let prefill = 1; prefill < engines; prefill += 1) {
		if (crowdedOf(balance, prefill, engines - prefill) < crowdedOf(balance, best, engines - best)) {
			best = prefill;
		}
	}

	return best;
};

const findWanted = (balance: RoleBalance): EndpointRole | undefined => {
	const {prefill, decode, isIdle} = balance;
	if (decode === 0 && prefill > 0) {
		return 'decode';
	}

	if (isIdle) {
		return prefill < Math.floor((prefill + decode) * idlePrefillPart) ? 'prefill' : undefined;
	}

	const now = crowdedOf(balance, prefill, decode);
	const best = findBestPrefill(balance);
	if (now < crowdedLoad || best === prefill || crowdedOf(balance, best, prefill + decode - best) > now * worthwhilePart) {
		return undefined;
	}

	return best > prefill ? 'prefill' : 'decode';
};

/** When an engine was last lost. One that changes its role still counts, so a change is no loss. */
const findLoss = ({nowMs, prefill, decode}: RoleBalance, {engineCount: engines, lastLossMs: lostMs}: RoleBalanceState): number | undefined =>
	engines !== undefined && prefill + decode < engines ? nowMs : lostMs;

const findDwell = (isSevere: boolean, sinceLossMs: number): {readonly dwellMs: number; readonly intervalMs: number} => {
	if (sinceLossMs < lossMs) {
		return {dwellMs: lossDwellMs, intervalMs: 0};
	}

	return isSevere ? {dwellMs: severeDwellMs, intervalMs: severeIntervalMs} : {dwellMs, intervalMs: minIntervalMs};
};

/** Decides on one change. */
export const balanceRoles = (balance: RoleBalance, memory: RoleBalanceState): RoleDecision => {
	const {nowMs, isIdle, prefill, decode} = balance;
	const wanted = findWanted(balance);
	const lastLossMs = findLoss(balance, memory);
	const kept = {lastChangeMs: memory.lastChangeMs, engineCount: prefill + decode, lastLossMs};
	if (wanted === undefined) {
		return {state: kept};
	}

	const wantedSinceMs = memory.neededRole === wanted ? memory.neededSinceMs ?? nowMs : nowMs;
	const dwell = findDwell(crowdedOf(balance, prefill, decode) > severeLoad, nowMs - (lastLossMs ?? Number.NEGATIVE_INFINITY));
	const isLasting = nowMs - wantedSinceMs >= dwell.dwellMs
		&& nowMs - (memory.lastChangeMs ?? Number.NEGATIVE_INFINITY) >= dwell.intervalMs;
	return isIdle || decode === 0 || isLasting
		? {change: wanted, state: {...kept, lastChangeMs: nowMs, lastLossMs: undefined}}
		: {state: {...kept, neededRole: wanted, neededSinceMs: wantedSinceMs}};
};
