/**
 * Creates the components of a forwarding entry and connects them to each other.
 */
import {
	RateShares, type Clock, type FleetPart, type MakeId, type Random,
} from '@hawthorncleat/core';
import {AccountLimits} from '../accounts/account-limits.js';
import {ActiveConfig} from '../store/active-config.js';
import {countStoreCalls} from '../store/counted-platform.js';
import {BackoffRecorder} from '../endpoints/backoff-recorder.js';
import type {CrashGuard} from '../quarantines/crash-guard.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {AnswerListener} from '../endpoints/endpoint-answer.js';
import {EndpointDirectory} from '../endpoints/endpoint-directory.js';
import {EndpointPool} from '../endpoints/endpoint-pool.js';
import {createGossip} from '../peers/create-gossip.js';
import {sendIntervalMs, type Gossip} from '../peers/gossip.js';
import {Membership} from '../peers/membership.js';
import {ForwardMetrics} from '../telemetry/metrics.js';
import {HeldBytes} from '../callers/held-bytes.js';
import {createHostBudget, type HostBudget} from '../callers/host-budget.js';
import {LoadTracker} from '../endpoints/load-tracker.js';
import type {ForwardSettings, Platform} from '../ports.js';
import {QuarantineRows} from '../quarantines/quarantine-rows.js';
import {RateLimits} from '../endpoints/rate-limits.js';
import {registrationExpiryMs} from '../endpoints/registration-outages.js';
import {RequestReports} from '../requests/request-reports.js';
import {ResumedStreams} from '../streams/resumed-streams.js';
import {RoleChanges} from '../roles/role-changes.js';
import {SoftwareRows} from '../versions/software-rows.js';
import {SoftwareVersions} from '../versions/software-versions.js';
import {StoreFollower} from '../store/store-follower.js';
import {StreamOrigins} from '../streams/stream-origins.js';
import {StreamRows} from '../streams/stream-rows.js';
import {createSupervisor, type Supervise} from '../utils/supervisor.js';
import {CorrectedClock} from '../store/corrected-clock.js';
import {UsageCounter} from '../usage/usage-counter.js';
import {createCrashGuard} from './create-crash-guard.js';
import {EntryPhases} from './entry-phases.js';

export type ForwardDaemonDeps = {
	readonly clock: Clock;
	/** Wall clock of this host. */
	readonly wallNowMs: () => number;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: DecisionLog;
	readonly platform: Platform;
	/** Registers a listener for reloaded settings. */
	readonly onReload?: (listener: (settings: ForwardSettings) => void) => void;
};

export type ForwardComponents = {
	readonly hostBudget: HostBudget;
	/** Memory budget of callers. */
	readonly heldBytes: HeldBytes;
	/** Requests that run at the same time. */
	readonly requestSlots: HeldBytes;
	readonly metrics: ForwardMetrics;
	/** Counts its calls to the store. */
	readonly platform: Platform;
	/** Runs the background tasks. */
	readonly supervise: Supervise;
	readonly members: Membership;
	readonly phases: EntryPhases;
	readonly reports: RequestReports;
	readonly config: ActiveConfig;
	readonly pool: EndpointPool;
	readonly crashes: CrashGuard;
	readonly quarantineRows: QuarantineRows;
	readonly load: LoadTracker;
	readonly rateShares: RateShares;
	readonly rateLimits: RateLimits;
	readonly accountLimits: AccountLimits;
	readonly roleChanges: RoleChanges;
	readonly softwareVersions: SoftwareVersions;
	readonly streamOrigins: StreamOrigins;
	readonly streamRows: StreamRows;
	readonly streams: ResumedStreams;
	readonly gossip: Gossip;
	readonly directory: EndpointDirectory;
	readonly answerListener: AnswerListener;
	readonly correctedClock: CorrectedClock;
	readonly usage: UsageCounter;
	readonly follower: StoreFollower;
};

/** Fraction of the time until a version must be in force in which the store delivers it; a peer can still deliver it in the rest. */
const storeDeliveryFraction = 0.5;

/** News of a peer has arrived after so many intervals between its messages, even if a datagram was lost. */
const newsRounds = 3;
/** Callers wait for it, and news of an entry that was killed never comes. */
const maxNewsMs = 600;

/** A peer without a message for this time is not in touch. Each sends one a second, and one may be lost. */
const inTouchMs = 2500;

/** The entries that share the limits, and those of them that are in touch. */
const describeFleet = (clock: Clock, members: Membership, lastSeenMs: (peer: string) => number | undefined): FleetPart => {
	const sinceMs = clock.nowMs() - inTouchMs;
	const peers = members.peers().filter(({name}) => (lastSeenMs(name) ?? Number.NEGATIVE_INFINITY) > sinceMs);
	return {entries: members.sharingCount(), inTouch: 1 + peers.length};
};

/** Creates the components without starting any of them. */
export const createForwardComponents = (settings: ForwardSettings, deps: ForwardDaemonDeps): ForwardComponents => {
	const {clock, makeId, log, random} = deps;
	const metrics = new ForwardMetrics();
	const hostBudget = createHostBudget(settings);
	const heldBytes = new HeldBytes(hostBudget.heldBytes);
	const requestSlots = new HeldBytes(hostBudget.requests);
	const platform = countStoreCalls(deps.platform, call => {
		metrics.countStoreCall(call);
	});
	const {rows} = platform;
	const supervise = createSupervisor({
		clock,
		onFailure(failure) {
			metrics.countTaskFailure(failure.task);
			log.writeTaskFailure(failure);
		},
	});
	const members: Membership = new Membership(clock, settings.hostName, peer => gossip.lastSeenMs(peer));
	const config = new ActiveConfig({
		clock,
		random,
		readConfig: platform.readConfig,
		members,
		isStoreAvailable: () => follower.isAvailable('config'),
		storeDeliveryMs: settings.configApplyMs * storeDeliveryFraction,
		log,
		metrics,
	});
	const rateShares = new RateShares({clock, entries: () => members.sharingCount()});
	const rateLimits: RateLimits = new RateLimits({
		clock, position: () => members.position(), shares: rateShares, pool: () => pool, log, metrics,
	});
	const accountLimits = new AccountLimits({
		clock,
		random,
		shares: new RateShares({clock, entries: () => members.sharingCount()}),
		fleet: () => describeFleet(clock, members, peer => gossip.lastSeenMs(peer)),
		routes: () => config.routes,
		log,
		metrics,
	});
	const pool: EndpointPool = new EndpointPool({
		clock, entries: () => members.liveCount(), rateLimitOf: endpoint => rateLimits.limitOf(endpoint), serviceOf: name => config.routes?.findService(name),
	});
	const backoffs = new BackoffRecorder({
		clock, random, pool, log, metrics,
	});
	const correctedClock = new CorrectedClock(clock, () => members.wallOffsets());
	const quarantineRows = new QuarantineRows({
		rows, correctedClock, nowMs: () => clock.nowMs(), log,
	});
	const crashes = createCrashGuard({clock, log}, {members, quarantineRows});
	const load = new LoadTracker(clock, pool);
	const roleChanges = new RoleChanges(clock, pool);
	const usage = new UsageCounter({
		rows,
		owner: `${settings.hostName}/${makeId()}`,
		windowMs: settings.usage.windowMs,
		nowMs: () => correctedClock.nowMs(),
		liveEntries: () => members.liveCount(),
		isShared: () => follower.isToldByPeers,
		position: () => members.position(),
		onError(error) {
			log.writeError('writing usage counts', error);
		},
	});
	const phases: EntryPhases = new EntryPhases(clock, () => config.routes !== undefined && follower.hasReadEndpoints);
	const directory = new EndpointDirectory({
		clock,
		pool,
		heartbeatMs: settings.heartbeatMs,
		readEndpoint: platform.readEndpoint,
		onChange(change) {
			log.write('endpoint', change);
			if (change.isCrash) {
				crashes.recordCrash(change.id);
			}
		},
		onRowError(key, error) {
			log.writeError(`applying the registration of ${key}`, error);
		},
	});
	const answerListener: AnswerListener = {
		onRetryAfter(target, head) {
			backoffs.record(target, head);
		},
		onRateLimit(call, head) {
			rateLimits.recordAnswer(call, head);
		},
		onLeaving(process) {
			directory.recordLeaving(process, 'answer');
		},
		onDamagedLeaving() {
			metrics.countDamagedLeaving();
		},
	};
	const softwareVersions = new SoftwareVersions({
		clock,
		endpoints: () => [...pool.all()].map(({endpoint}) => endpoint),
		rows: new SoftwareRows(rows, log),
		position: () => members.position(),
		hearsPeers: () => members.liveCount() > 1 || members.peers().length === 0,
		onChange(change) {
			log.write('software', change);
		},
	});
	const streamOrigins = new StreamOrigins({
		clock, isTold: service => softwareVersions.isMixed(service), isAnyTold: () => softwareVersions.isAnyMixed,
	});
	const streamRows = new StreamRows({
		rows, origins: streamOrigins, ownName: settings.hostName, correctedClock, nowMs: () => clock.nowMs(), position: () => members.position(), log,
	});
	const streams = new ResumedStreams({
		origins: streamOrigins,
		versions: softwareVersions,
		rows: streamRows,
		newsMs: () => Math.min(maxNewsMs, newsRounds * sendIntervalMs(members.peers().length)),
	});
	const gossip: Gossip = createGossip(settings, deps, {
		softwareVersions, streamOrigins, roleChanges, config, crashes, directory, load, members, metrics, phases, rateLimits, accountLimits, supervise, usage,
	});
	const follower: StoreFollower = new StoreFollower({
		clock,
		random,
		rows,
		config,
		directory,
		members,
		correctedClock,
		// In a longer time without an answer, registrations could have expired.
		silenceLimitMs: Math.min(settings.silenceLimitMs, registrationExpiryMs(settings.heartbeatMs)),
		pollBounds: settings,
		log,
		metrics,
		supervise,
		onStoreReturn() {
			directory.recordStoreReturn();
			members.recordStoreReturn();
			usage.recordStoreReturn();
			softwareVersions.recordStoreReturn();
			streamOrigins.recordStoreReturn();
			void quarantineRows.saveSegments(crashes.segmentQuarantines);
			if (members.position().index === 0) {
				void quarantineRows.saveRequests(crashes.requestQuarantines);
			}
		},
	});
	return {
		hostBudget, heldBytes, requestSlots,
		metrics, platform, supervise, members, phases, reports: new RequestReports(log, metrics), config, pool, crashes, quarantineRows, load, rateShares, rateLimits, accountLimits, roleChanges,
		softwareVersions, streamOrigins, streamRows, streams, gossip, directory, answerListener,
		correctedClock, usage, follower,
	};
};
