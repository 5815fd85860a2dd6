/**
 * The control side of an entry: configuration, hosts, freshness, publications and claims, connected to the platform.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs,
	createActiveConfig,
	dutyAnnouncementRetentionMs,
	DutyWitness,
	FreshnessTracker,
	RecentWitnessGroups,
	Witness,
	type Clock,
	type EntryId,
	type ActiveConfig,
	type LeaseEpoch,
	type MakeId,
} from '@hawthorncleat/core';
import {
	createClaimWriter,
	createConfigStore,
	createEndpointOrdersClient,
	createHostListClient,
	createHttpClient,
	createObjectStoreClient,
	createTableClient,
	createUsageReportsClient,
	type EndpointOrdersClient,
	type ObjectStore,
	type Table,
	type UsageReportsClient,
} from '@hawthorncleat/store';
import type {EntrySettings, HostRecord} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {Peer} from '@hawthorncleat/wire';
import type {EntryDeps, PeerServices} from '../deps.js';
import {answerConfigSince} from './config-parts.js';
import {ConfigSync} from './config-sync.js';
import {createOutageEvidence, type CreateOutageEvidence} from './duty-evidence.js';
import {FreshnessLoop} from './freshness-loop.js';
import {Groups} from './groups.js';
import {HostWatch} from './host-watch.js';
import {WitnessedPublisher} from './publisher.js';

/** A read of the head that takes longer is treated as failed, so that an attestation still comes in time. */
const headTimeoutMs = 800;

export type ControlDeps = {
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly log: Log;
};

type PartOfDeps = 'claims' | 'config' | 'controlStatus' | 'entryHosts' | 'freshness' | 'hosts' | 'peerServices' | 'publisher' | 'usageStore';

/** What the control side gives to the rest of the entry. */
export type EntryControl = Pick<EntryDeps, PartOfDeps> & {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly usageReports: UsageReportsClient;
	readonly endpointOrders: EndpointOrdersClient;
	readonly inForce: ActiveConfig;
	readonly hostWatch: HostWatch;
	readonly peers: () => ReadonlyMap<string, Peer>;
	/** Evidence for duties that go on while the table is down. */
	readonly outageEvidence: CreateOutageEvidence;
	/** Settles after the signal aborted. */
	readonly closed: Promise<void>;
};

const createStores = (settings: EntrySettings, {makeId}: ControlDeps, signal: AbortSignal) => {
	const http = createHttpClient({url: settings.platformUrl}, signal);
	const quickHttp = createHttpClient({url: settings.platformUrl, timeoutMs: headTimeoutMs}, signal);
	const table = createTableClient(http);
	const objects = createObjectStoreClient(http);
	return {
		table,
		objects,
		hostList: createHostListClient(http),
		usageReports: createUsageReportsClient(http),
		endpointOrders: createEndpointOrdersClient(http),
		configStore: createConfigStore({table, objects, makeId}),
		headStore: createConfigStore({table: createTableClient(quickHttp), objects, makeId}),
	};
};

const createPeerServices = (
	{inForce, witness, dutyWitness, groups, sync}: {inForce: ActiveConfig; witness: Witness; dutyWitness: DutyWitness; groups: Groups; sync: ConfigSync},
	setPeers: (peers: () => ReadonlyMap<string, Peer>) => void,
): PeerServices => ({
	configSince: params => answerConfigSince(inForce, params),
	askFreshness: ({view}) => witness.answer(view),
	announcePublish: ({announceId, version, view}) => witness.announce(announceId, version, view),
	finishPublish({announceId, outcome, version}) {
		witness.finish(announceId, outcome, version);
		if (outcome === 'accepted') {
			void sync.catchUp(version);
		}

		return {version: inForce.view().version, incarnation: witness.incarnation};
	},
	announceDuty({duty, epoch}) {
		dutyWitness.announce({duty, epoch: brandAs<LeaseEpoch>(epoch)});
		return {noted: true};
	},
	attestDuty: ({duty, epoch, view}) => ({attested: dutyWitness.attest({duty, epoch: brandAs<LeaseEpoch>(epoch)}, view)}),
	onPeerVersion(version) {
		void sync.catchUp(version);
	},
	requiredEntries: groups.members,
	usePeers: setPeers,
});

const pollHosts = async (hostWatch: HostWatch, pollMs: number, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await sleep(pollMs, undefined, {signal}).catch(() => {/* The loop ends. */});
		await hostWatch.poll();
	}
};

/** Connects an entry to the platform. Reads the host list and the configuration once before it returns. */
export const createEntryControl = async (
	settings: EntrySettings,
	deps: ControlDeps,
	signal: AbortSignal,
): Promise<EntryControl> => {
	const {clock, makeId, log} = deps;
	const {entryId, dataCentre, region} = settings;
	const stores = createStores(settings, deps, signal);
	const inForce = createActiveConfig();
	const localVersion = (): number => inForce.view().version;
	const freshness = new FreshnessTracker({clock, localVersion});
	const loops: {freshness?: FreshnessLoop} = {};
	const isStoreUnreachable = (): boolean => loops.freshness?.isStoreUnreachable ?? false;
	const {witnessSettleMs} = settings;
	const witness = new Witness({
		clock, freshness, localVersion, incarnation: makeId(), isStoreUnreachable, witnessSettleMs,
	});
	const dutyWitness = new DutyWitness({
		clock, entryId, isStoreUnreachable, witnessSettleMs: Math.max(witnessSettleMs, dutyAnnouncementRetentionMs),
	});
	const recentGroups = new RecentWitnessGroups(clock, witnessSettleMs);
	let peers = (): ReadonlyMap<string, Peer> => new Map<string, Peer>();
	const currentPeers = (): ReadonlyMap<string, Peer> => peers();
	const sync = new ConfigSync({inForce, store: stores.configStore, peers: currentPeers});
	const groups: Groups = new Groups({
		settings, hostWatch: () => hostWatch, witness, dutyWitness, recent: recentGroups,
	});
	const hostWatch = new HostWatch({
		client: stores.hostList, dataCentre, region, inForce, onChange: groups.update,
	});
	const freshnessLoop = new FreshnessLoop({
		clock,
		entryId,
		pollMs: settings.headPollMs,
		freshness,
		witness,
		store: stores.headStore,
		sync,
		groups: groups.all,
		ownGroup: groups.own,
		peers: currentPeers,
		localVersion,
	});
	loops.freshness = freshnessLoop;
	inForce.onChange(view => {
		log.info('configuration in force', {version: view.version});
	}, signal);
	await hostWatch.poll();
	await freshnessLoop.readFirst();
	await hostWatch.poll();
	const closed = Promise.all([
		freshnessLoop.run(signal),
		pollHosts(hostWatch, settings.hostPollMs, signal),
	]).then(() => {/* All loops have ended. */});
	return {
		table: stores.table,
		objects: stores.objects,
		usageReports: stores.usageReports,
		endpointOrders: stores.endpointOrders,
		inForce,
		hostWatch,
		peers: currentPeers,
		outageEvidence: createOutageEvidence({
			clock, entryId, witness: dutyWitness, ownGroup: groups.own, recentGroups, peers: currentPeers,
		}),
		closed,
		config: {current: inForce.view},
		hosts: {current: (): readonly HostRecord[] => hostWatch.region},
		entryHosts: {current: (): readonly HostRecord[] => hostWatch.entries},
		claims: createClaimWriter({
			table: stores.table, clock, makeId, entryId: brandAs<EntryId>(entryId),
		}, signal),
		freshness: {mayServe: () => freshness.hasValidProof()},
		publisher: new WitnessedPublisher({
			clock, makeId, entryId, inForce, store: stores.configStore, witness, ownGroup: groups.own, peers: currentPeers,
		}),
		usageStore: stores.objects,
		controlStatus: () => ({
			storeReachable: !freshnessLoop.isStoreUnreachable,
			witnesses: groups.own()?.witnesses.map(({hostId}) => hostId) ?? [],
			mayAttest: witness.isSettled,
		}),
		peerServices: createPeerServices({
			inForce, witness, dutyWitness, groups, sync,
		}, source => {
			peers = source;
		}),
	};
};
