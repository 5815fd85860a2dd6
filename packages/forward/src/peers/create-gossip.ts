/**
 * Connects gossip to the components whose news it sends and that take the news of peers.
 */
import type {Clock} from '@hawthorncleat/core';
import type {AccountLimits} from '../accounts/account-limits.js';
import type {ActiveConfig} from '../store/active-config.js';
import type {CrashGuard} from '../quarantines/crash-guard.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {EndpointDirectory} from '../endpoints/endpoint-directory.js';
import type {EntryPhases} from '../daemon/entry-phases.js';
import type {LoadTracker} from '../endpoints/load-tracker.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {ForwardSettings} from '../ports.js';
import type {RateLimits} from '../endpoints/rate-limits.js';
import type {RoleChanges} from '../roles/role-changes.js';
import type {SoftwareVersions} from '../versions/software-versions.js';
import type {StreamOrigins} from '../streams/stream-origins.js';
import type {Supervise} from '../utils/supervisor.js';
import type {UsageCounter} from '../usage/usage-counter.js';
import type {Membership} from './membership.js';
import {Gossip} from './gossip.js';

export type GossipSources = {
	readonly accountLimits: AccountLimits;
	readonly config: ActiveConfig;
	readonly crashes: CrashGuard;
	readonly directory: EndpointDirectory;
	readonly load: LoadTracker;
	readonly members: Membership;
	readonly metrics: ForwardMetrics;
	readonly phases: EntryPhases;
	readonly rateLimits: RateLimits;
	readonly roleChanges: RoleChanges;
	readonly softwareVersions: SoftwareVersions;
	readonly streamOrigins: StreamOrigins;
	readonly supervise: Supervise;
	readonly usage: UsageCounter;
};

/** Creates the gossip of an entry without starting it. */
export const createGossip = ({
	hostName, ip, gossipPort, dataCentre,
}: ForwardSettings, {clock, log}: {readonly clock: Clock; readonly log: DecisionLog}, components: GossipSources): Gossip => new Gossip({
	clock,
	ownName: hostName,
	dataCentre,
	address: ip,
	port: gossipPort,
	load: components.load,
	metrics: components.metrics,
	supervise: components.supervise,
	peers: () => components.members.peers(),
	configVersion: () => components.config.version,
	ownPhase: () => components.phases.own,
	onPhase(peer, phase) {
		components.phases.record(peer.name, phase);
	},
	roleChanges: () => components.roleChanges.own,
	usageNotice: () => components.usage.unwrittenCounts(),
	crashReports: () => components.crashes.reportsToSend(),
	onCrashReports(reports) {
		components.crashes.applyPeerReports(reports);
	},
	departures: receivers => components.directory.departuresToSend(receivers),
	onDepartures(departures) {
		components.directory.applyDepartures(departures);
	},
	limitNews: () => components.rateLimits.newsToSend(),
	onLimitNews(peer, news) {
		components.rateLimits.applyNews(peer.name, news);
	},
	accountNews: receivers => components.accountLimits.newsToSend(receivers),
	onAccountNews(peer, news) {
		components.accountLimits.applyNews(peer.name, news);
	},
	segmentNews: receivers => components.crashes.segmentNewsToSend(receivers),
	onSegmentNews(news) {
		components.crashes.applyPeerSegmentNews(news);
	},
	requestNews: receivers => components.crashes.requestNewsToSend(receivers),
	onRequestNews(news) {
		components.crashes.applyPeerRequestNews(news);
	},
	streamNews: receivers => components.streamOrigins.newsToSend(receivers),
	onStreamNews(news) {
		components.streamOrigins.applyNews(news);
		for (const origin of news) {
			components.softwareVersions.note(origin);
		}
	},
	onUsage(notice) {
		components.usage.applyNotice(notice);
	},
	onConfigVersion(peer, version) {
		components.config.recordPeerVersion(peer, version);
	},
	onRoleChanges(_peer, changes) {
		components.roleChanges.record(changes);
	},
	onError(error) {
		log.writeError('applying a message of a peer', error);
	},
	onPortFailure(port, error) {
		log.writeError(`listening on the port of ${port}`, error);
	},
});
