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
/** Above this use of one role, and below that use of the other one after the change, a change pays. */
const crowdedUse = 0.9;
const roomyUse = 0.65;
/** Swings of the mix that last shorter are over before a change has been carried out. */
const dwellMs = 2500;
/** An engine that changes back at once would be away twice. */
const minIntervalMs = 12_000;

const findWanted = ({prefill, decode, prefillNeeded, decodeNeeded, isIdle}: RoleBalance): EndpointRole | undefined => {
	if (decode === 0 && prefill > 0) {
		return 'decode';
	}

	if (isIdle) {
		return prefill < Math.floor((prefill + decode) * idlePrefillPart) ? 'prefill' : undefined;
	}

	if (decode > 1 && prefillNeeded > prefill * crowdedUse && decodeNeeded < (decode - 1) * roomyUse) {
		return 'prefill';
	}

	return prefill > 1 && decodeNeeded > decode * crowdedUse && prefillNeeded < (prefill - 1) * roomyUse ? 'decode' : undefined;
};

/** Decides on one change. */
export const balanceRoles = (balance: RoleBalance, memory: RoleBalanceMemory): RoleDecision => {
	const {nowMs, isIdle, decode} = balance;
	const wanted = findWanted(balance);
	if (wanted === undefined) {
		return {memory: {lastChangeMs: memory.lastChangeMs}};
	}

	const wantedSinceMs = memory.wanted === wanted ? memory.wantedSinceMs ?? nowMs : nowMs;
	const isLasting = nowMs - wantedSinceMs >= dwellMs && nowMs - (memory.lastChangeMs ?? Number.NEGATIVE_INFINITY) >= minIntervalMs;
	return isIdle || decode === 0 || isLasting
		? {change: wanted, memory: {lastChangeMs: nowMs}}
		: {memory: {lastChangeMs: memory.lastChangeMs, wanted, wantedSinceMs}};
};
