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
	/** Running requests in relation to the places of one decode engine. */
	readonly decodeNeeded: number;
	readonly isIdle: boolean;
};

/** What is remembered between two decisions. */
export type RoleBalanceMemory = {
	readonly wanted?: EndpointRole;
	readonly wantedSinceMs?: number;
	readonly lastChangeMs?: number;
};

export type RoleDecision = {readonly change?: EndpointRole; readonly memory: RoleBalanceMemory};

/**
 * Part of the engines that prefill before any demand is known. A decode engine can prefill, at less than half the speed,
 * but not the other way round, so decode gets the odd one.
 */
const idlePrefillPart = 0.5;
/** Places of a decode engine that are used at an even load; beyond it, the pace of its streams falls quickly. */
const decodeUse = 0.6;
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

/** Decides on one change. */
export const balanceRoles = (balance: RoleBalance, memory: RoleBalanceMemory): RoleDecision => {
	const {nowMs, isIdle, prefill, decode} = balance;
	const wanted = findWanted(balance);
	if (wanted === undefined) {
		return {memory: {lastChangeMs: memory.lastChangeMs}};
	}

	const wantedSinceMs = memory.wanted === wanted ? memory.wantedSinceMs ?? nowMs : nowMs;
	const isSevere = crowdedOf(balance, prefill, decode) > severeLoad;
	const isLasting = nowMs - wantedSinceMs >= (isSevere ? severeDwellMs : dwellMs)
		&& nowMs - (memory.lastChangeMs ?? Number.NEGATIVE_INFINITY) >= (isSevere ? severeIntervalMs : minIntervalMs);
	return isIdle || decode === 0 || isLasting
		? {change: wanted, memory: {lastChangeMs: nowMs}}
		: {memory: {lastChangeMs: memory.lastChangeMs, wanted, wantedSinceMs}};
};
