/**
 * How often an entry calls the store for what it follows. Calls are rate-limited for the fleet as a whole and billed, so an entry in a fleet that exchanges
 * news calls less often: each reads within the bound that it has to keep by itself, and hears earlier of most changes from the peer that happened to read
 * first. An entry that does not hear its peers, or that has just started or lost the store, calls as often as an entry alone.
 * The load that these decisions answer: 20 entries and more, 50 endpoints that register anew each 1.2 s, and a few changes a minute.
 */
import type {Random} from '@hawthorncleat/core';

/** What an entry knows of the fleet and the store when it decides when to call next. */
export type PollSituation = {
	/** Live entries, including this one. */
	readonly entries: number;
	/** Other entries in the store, and those of them with a recent message. */
	readonly registeredPeers: number;
	readonly heardPeers: number;
	/** Time since the store's first answer, its last failed call or its return from a copy. */
	readonly steadyMs: number;
};

/** Bounds of the deployment. */
export type PollBounds = {
	/** A leaving endpoint serves for this time after its registration says so. */
	readonly drainMs: number;
	readonly heartbeatMs: number;
};

/** Every heartbeat is a change, so with shorter pauses each entry would make a call for almost every heartbeat. */
const minEndpointBatchMs = 400;
const endpointBatchPerEntryMs = 40;
/** Half of the shortest time in which a leaving endpoint may still get work. */
const maxEndpointBatchMs = 1000;

/** So many peers that read at different moments make the fleet as a whole see a change as soon as one entry that reads every 0.4 s. */
const minHeardPeers = 8;
/** With fewer of the registered entries heard, this one may be on the smaller side of a cut. */
const minHeardFraction = 0.5;
/** Endpoints register again within two seconds of the store's return, and a peer is heard one second after its row is known. */
const settlingMs = 3000;

/** The rest is for the call itself, for a process that does not run for a moment, and for the request's way to the endpoint. */
const drainFraction = 0.75;
/** A gap between two answers of twice the heartbeat counts as an outage of the store. */
const heartbeatsBetweenReads = 2;
const answerReserveMs = 250;
/** Entries whose store returned for all of them at one moment do not go on reading at the same moments. */
const pauseSpread = 0.1;

/** How many times longer the wait for a configuration is in a fleet that tells its versions. */
const sharedWaitFactor = 10;

/** Members may be read late, because gossip works without the store. */
const membersWaitMs = 15_000;
/** The store waits for 30 s at the most. */
const sharedMembersWaitMs = 28_000;

/** Whether the fleet tells this entry what changes. */
export const isToldByPeers = ({registeredPeers, heardPeers, steadyMs}: PollSituation): boolean =>
	heardPeers >= minHeardPeers && heardPeers >= registeredPeers * minHeardFraction && steadyMs >= settlingMs;

/** Length of a batch of changes of endpoints for an entry that reads by itself, by the number of live entries. */
export const endpointBatchMs = (entries: number): number => Math.min(maxEndpointBatchMs, Math.max(minEndpointBatchMs, entries * endpointBatchPerEntryMs));

/** Longest pause between two reads of the endpoints: within it, a leaving endpoint is known without any message of a peer. */
export const maxEndpointPauseMs = ({drainMs, heartbeatMs}: PollBounds): number =>
	Math.max(minEndpointBatchMs, Math.min(drainMs * drainFraction, (heartbeatsBetweenReads * heartbeatMs) - answerReserveMs));

/** Pause after a read of the endpoints. */
export const endpointPauseMs = (situation: PollSituation, bounds: PollBounds, random: Random): number => {
	const aloneMs = endpointBatchMs(situation.entries);
	return isToldByPeers(situation) ? Math.max(aloneMs, maxEndpointPauseMs(bounds) * (1 - (pauseSpread * random()))) : aloneMs;
};

/**
 * Longest wait of a call for a newer configuration. It ends at once with a change; only on a connection that has gone silent does the whole wait count, and
 * then peers tell of the version and hand it on. A change ends the waits of all entries at one moment, so each waits for another time: `spread`, from 0 to 1,
 * is that of the entry, and some calls of the fleet are always young.
 */
export const configWaitMs = (situation: PollSituation, aloneMs: number, spread: number): number =>
	isToldByPeers(situation) ? aloneMs * (1 + ((sharedWaitFactor - 1) * spread)) : aloneMs;

/** Longest wait of a call for member rows. A new entry's row ends it at once. */
export const membersWaitMsIn = (situation: PollSituation): number => isToldByPeers(situation) ? sharedMembersWaitMs : membersWaitMs;
