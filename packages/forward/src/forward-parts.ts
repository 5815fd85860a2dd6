/**
 * The parts of a forwarding entry, connected to each other.
 */
import type {Clock, MakeId, Random} from '@hawthorncleat/core';
import {ConfigInForce} from './config-in-force.js';
import {CrashGuard} from './crash-guard.js';
import type {DecisionLog} from './decision-log.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {EndpointPool} from './endpoint-pool.js';
import {Gossip} from './gossip.js';
import {Membership} from './membership.js';
import {ForwardMetrics} from './metrics.js';
import {LoadTracker} from './load-tracker.js';
import type {ForwardSettings, Platform} from './ports.js';
import {RequestReports} from './request-reports.js';
import {RoleChanges} from './role-changes.js';
import {StoreFollower} from './store-follower.js';
import {TrueTime} from './true-time.js';
import {UsageCounter} from './usage-counter.js';

export type ForwardDaemonDeps = {
	readonly clock: Clock;
	/** Time of day. */
	readonly wallMs: () => number;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: DecisionLog;
	readonly platform: Platform;
	/** Calls the listener with new settings. */
	readonly onReload?: (listener: (settings: ForwardSettings) => void) => void;
};

export type ForwardParts = {
	readonly metrics: ForwardMetrics;
	readonly members: Membership;
	readonly reports: RequestReports;
	readonly config: ConfigInForce;
	readonly pool: EndpointPool;
	readonly crashes: CrashGuard;
	readonly load: LoadTracker;
	readonly changes: RoleChanges;
	readonly gossip: Gossip;
	readonly directory: EndpointDirectory;
	readonly time: TrueTime;
	readonly usage: UsageCounter;
	readonly follower: StoreFollower;
};

type GossipParts = Pick<ForwardParts, 'changes' | 'config' | 'crashes' | 'load' | 'members' | 'usage'>;

const createGossip = ({hostName, ip, gossipPort}: ForwardSettings, clock: Clock, parts: GossipParts): Gossip => new Gossip({
	clock,
	self: hostName,
	address: ip,
	port: gossipPort,
	load: parts.load,
	peers: () => parts.members.peers(),
	configVersion: () => parts.config.version,
	changing: () => parts.changes.own,
	usage: () => parts.usage.untold(),
	crashes: () => parts.crashes.untold(),
	onCrashes(marks) {
		parts.crashes.hear(marks);
	},
	onUsage(notice) {
		parts.usage.hear(notice);
	},
	onVersion(peer, version) {
		parts.config.hearVersion(peer, version);
	},
	onChanging(_peer, changes) {
		parts.changes.note(changes);
	},
});

const createCrashGuard = (clock: Clock, log: DecisionLog): CrashGuard => new CrashGuard({
	clock,
	onCrash({endpoint, requests}) {
		log.write('endpoint', {
			id: endpoint, was: 'running', is: 'crashed', requests,
		});
	},
});

/** Creates the parts; nothing runs yet. */
export const createForwardParts = (settings: ForwardSettings, deps: ForwardDaemonDeps): ForwardParts => {
	const {clock, platform, makeId, log} = deps;
	const {rows} = platform;
	const metrics = new ForwardMetrics();
	const members: Membership = new Membership(clock, settings.hostName, peer => gossip.heardMs(peer));
	const config = new ConfigInForce({
		readConfig: platform.readConfig, members, log, metrics,
	});
	const pool = new EndpointPool({
		clock, entries: () => members.liveCount(), serviceOf: name => config.routes?.findService(name),
	});
	const crashes = createCrashGuard(clock, log);
	const load = new LoadTracker(clock, pool);
	const changes = new RoleChanges(clock, pool);
	const time = new TrueTime(clock, () => members.wallOffsets());
	const usage = new UsageCounter({
		rows,
		owner: `${settings.hostName}/${makeId()}`,
		windowMs: settings.usage.windowMs,
		nowMs: () => time.nowMs(),
		entries: () => members.liveCount(),
		onError(error) {
			log.writeError('writing usage counts', error);
		},
	});
	const gossip: Gossip = createGossip(settings, clock, {
		changes, config, crashes, load, members, usage,
	});
	const directory = new EndpointDirectory({
		clock,
		pool,
		readEndpoint: platform.readEndpoint,
		onChange(change) {
			log.write('endpoint', change);
			if (change.isCrash) {
				crashes.noteCrash(change.id);
			}
		},
	});
	const follower = new StoreFollower({
		clock, rows, config, directory, members, time, log,
	});
	return {
		metrics, members, reports: new RequestReports(log, metrics), config, pool, crashes, load, changes, gossip, directory, time, usage, follower,
	};
};
