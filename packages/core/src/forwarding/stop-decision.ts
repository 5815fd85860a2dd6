/**
 * Decides for an entry that was told to stop when it withdraws its readiness and when it closes its listening socket. In a rolling restart the
 * entries are told one shortly after the other, so without regard for each other all of them would be away at the same time.
 *
 * An entry waits while a part of the fleet is away and comes back, but only as long as the platform accepts a ready entry that is stopping. The last
 * ready entry waits longer: until another one is ready, or until its own stop limit leaves just the time that the rest of the stop takes. Only one
 * entry may do so, so an entry counts as the last one only if the others have said that they are away.
 */

/** `waiting`: told to stop and still ready. `leaving`: told to stop and no longer ready. */
export type EntryPhase = 'starting' | 'ready' | 'waiting' | 'leaving';

/** What an entry has last received from another one. */
export type PeerPhase = {
	readonly name: string;
	readonly phase: EntryPhase;
	/** Time since the peer was told to stop, now; 0 if it was not. */
	readonly stoppingMs: number;
	/** Time since its last message. */
	readonly silentMs: number;
};

export type StopLimits = {
	/** Longest time that an entry may stay ready after it was told to stop while others are ready. */
	readonly readyMs: number;
	/** Time from the withdrawal of readiness until no connection arrives any more. */
	readonly outOfRotationMs: number;
	/** Time after which the process must have ended. */
	readonly stopMs: number;
};

export type StopState = {
	readonly ownName: string;
	/** Time since this entry was told to stop. */
	readonly stoppingMs: number;
	/** Time since it withdrew its readiness; undefined while it is ready. */
	readonly unreadyMs: number | undefined;
	readonly peers: readonly PeerPhase[];
};

/** Why an entry takes the next step of its stop, or waits. */
export type StopReason = 'enough-ready' | 'peers-away' | 'last-ready' | 'time-limit' | 'in-rotation' | 'nobody-ready';

export type StopDecision = {readonly step: 'wait' | 'withdraw' | 'close'; readonly reason: StopReason};

/** An entry that was heard of within this time is there; messages are sent at least each second and may be lost. */
const maxSilentMs = 2500;
/** An entry that was leaving or starting, or fell silent, is expected back for this long. */
const expectedBackMs = 15_000;
/** With a smaller fraction of the entries away, the others carry their load. */
const maxAwayFraction = 0.25;
/** The platform sends new connections to entries that are ready only if at least this fraction of them is. */
const minReadyFraction = 0.5;
/** Time that running requests take after the listening socket has closed; most streams end within it. */
const drainReserveMs = 1500;

const isReady = ({phase, silentMs}: PeerPhase): boolean => phase === 'ready' && silentMs <= maxSilentMs;

/** A ready peer that fell silent without having said that it leaves may be behind a cut and still be ready for callers. */
const mayBeReady = ({phase, silentMs}: PeerPhase): boolean => phase === 'ready' && silentMs <= expectedBackMs;

const isServing = ({phase, silentMs}: PeerPhase): boolean => (phase === 'ready' || phase === 'waiting') && silentMs <= maxSilentMs;

const isAway = (peer: PeerPhase): boolean => !isServing(peer) && peer.silentMs <= expectedBackMs;

/**
 * Whether a caller that is refused here most likely reaches an entry that is ready and not stopping. With fewer of them, refusals send callers from
 * one stopping entry to the next.
 */
export const areMostReady = (peers: readonly PeerPhase[]): boolean => {
	const known = peers.filter(({silentMs}) => silentMs <= expectedBackMs);
	const readyCount = known.filter(peer => isReady(peer)).length;
	return readyCount > 0 && readyCount >= known.length * minReadyFraction;
};

/** Whether a waiting peer stays ready instead of this entry: of those that wait, the one that was told last, and may wait longest. */
const staysInstead = (peer: PeerPhase, {ownName, stoppingMs}: StopState): boolean => {
	if (peer.phase !== 'waiting' || peer.silentMs > maxSilentMs) {
		return false;
	}

	return peer.stoppingMs === stoppingMs ? peer.name > ownName : peer.stoppingMs < stoppingMs;
};

const decideWithdrawal = (state: StopState, limits: StopLimits): StopDecision => {
	const {peers, stoppingMs} = state;
	const awayCount = peers.filter(peer => isAway(peer)).length;
	if (awayCount === 0 || awayCount < (peers.length + 1) * maxAwayFraction) {
		return {step: 'withdraw', reason: 'enough-ready'};
	}

	const isLast = !peers.some(peer => mayBeReady(peer) || staysInstead(peer, state));
	const limitMs = isLast ? limits.stopMs - limits.outOfRotationMs - drainReserveMs : limits.readyMs;
	if (stoppingMs >= limitMs) {
		return {step: 'withdraw', reason: 'time-limit'};
	}

	return {step: 'wait', reason: isLast ? 'last-ready' : 'peers-away'};
};

const decideClosing = ({peers, stoppingMs}: StopState, unreadyMs: number, limits: StopLimits): StopDecision => {
	if (stoppingMs >= limits.stopMs - drainReserveMs) {
		return {step: 'close', reason: 'time-limit'};
	}

	if (unreadyMs < limits.outOfRotationMs) {
		return {step: 'wait', reason: 'in-rotation'};
	}

	// Without a ready entry, connections still arrive here, or their callers find none that accepts them.
	const isNobodyReady = peers.some(peer => isAway(peer)) && !peers.some(peer => isServing(peer));
	return isNobodyReady ? {step: 'wait', reason: 'nobody-ready'} : {step: 'close', reason: 'enough-ready'};
};

/** Decides the next step of a stop. */
export const decideStop = (state: StopState, limits: StopLimits): StopDecision =>
	state.unreadyMs === undefined ? decideWithdrawal(state, limits) : decideClosing(state, state.unreadyMs, limits);
