/**
 * Gossip between entries over UDP: each entry broadcasts which requests it runs at each endpoint and what it has sent since
 * its last message. Load reports of the endpoints would be older, so endpoint selection uses these messages instead. Losing a
 * datagram is harmless, because running requests are sent as absolute counts and not as changes. Entries of the same data centre hear of each other more
 * often than those of others: they mostly use the same engines, there are fewer of them, and traffic between data centres is billed.
 */
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {AccountNews} from '../accounts/account-news.js';
import type {CrashReport} from '../quarantines/crash-guard.js';
import type {Departure} from '../endpoints/departures.js';
import type {SentPhase} from '../daemon/entry-phases.js';
import {keepNewest} from '../endpoints/engine-speeds.js';
import type {LoadTracker} from '../endpoints/load-tracker.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import {openPort, type PortFailureListener} from '../utils/open-port.js';
import type {LimitNews} from '../endpoints/rate-limits.js';
import type {RoleChange} from '../roles/role-changes.js';
import type {RequestNews} from '../quarantines/request-news.js';
import type {SegmentNews} from '../quarantines/segment-quarantines.js';
import type {StreamNews} from '../streams/stream-origins.js';
import type {Supervise} from '../utils/supervisor.js';
import type {UsageNotice} from '../usage/usage-counter.js';
import {decodeMessage, encodeMessage, type GossipMessage} from './gossip-message.js';
import {describeState, isDivisible} from './message-parts.js';
import {PeerGroup, type Peer} from './peer-group.js';

export type GossipOptions = {
	readonly clock: Clock;
	readonly ownName: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly port: number;
	readonly load: LoadTracker;
	readonly metrics: Pick<ForwardMetrics, 'countControlTransfer'>;
	/** Runs the loops that send. */
	readonly supervise: Supervise;
	readonly peers: () => readonly Peer[];
	readonly configVersion: () => number;
	readonly ownPhase: () => SentPhase;
	readonly onPhase: (peer: Peer, phase: SentPhase) => void;
	readonly roleChanges: () => readonly RoleChange[];
	readonly usageNotice: () => UsageNotice;
	readonly crashReports: () => readonly CrashReport[];
	readonly onCrashReports: (reports: readonly CrashReport[]) => void;
	/** Departures of endpoints for the peers that the name stands for. */
	readonly departures: (receivers: string) => readonly Departure[];
	readonly onDepartures: (departures: readonly Departure[]) => void;
	readonly limitNews: () => LimitNews;
	readonly onLimitNews: (peer: Peer, news: LimitNews) => void;
	/** What this entry has spent of the limits of client accounts, for the peers that the name stands for; undefined if there is nothing to tell. */
	readonly accountNews: (receivers: string) => AccountNews | undefined;
	readonly onAccountNews: (peer: Peer, news: AccountNews) => void;
	/** News for the peers that the name stands for; they are repeated to each of them. */
	readonly segmentNews: (receivers: string) => SegmentNews;
	readonly onSegmentNews: (news: SegmentNews) => void;
	/** News about requests that crash endpoints, for the peers that the name stands for. */
	readonly requestNews: (receivers: string) => RequestNews;
	readonly onRequestNews: (news: RequestNews) => void;
	/** Streams that this entry has begun, for the peers that the name stands for. */
	readonly streamNews: (receivers: string) => readonly StreamNews[];
	readonly onStreamNews: (news: readonly StreamNews[]) => void;
	readonly onUsage: (notice: UsageNotice) => void;
	/** Called with the engines whose role another entry is changing. */
	readonly onRoleChanges: (peer: Peer, changes: readonly RoleChange[]) => void;
	/** Called with the configuration version of another entry. */
	readonly onConfigVersion: (peer: Peer, version: number) => void;
	/** Called with an exception of what a message of a peer has called. */
	readonly onError: (error: unknown) => void;
	readonly onPortFailure: PortFailureListener;
};

/** The load in a message is up to this old when it is sent; half the time of a short prefill. */
const minSendIntervalMs = 60;
/** Each peer costs a datagram in each direction, so the interval grows with their number to keep the rate of datagrams constant. */
const sendIntervalPerPeerMs = 8;
/** Load that is older no longer describes short requests. */
const maxSendIntervalMs = 1000;
/** A message is sent at least this often, so that peers count this entry as live. */
const keepAliveMs = 1000;
/** Usage that only this process has is lost if it crashes, so it is broadcast about as often as it is written to the store. */
const usageIntervalMs = 900;
/** A datagram fits into one Ethernet packet. */
const maxDatagramBytes = 1400;

/** Interval between two messages of an entry, by the number of its peers. */
export const sendIntervalMs = (peers: number): number => Math.min(maxSendIntervalMs, Math.max(minSendIntervalMs, peers * sendIntervalPerPeerMs));

export class Gossip {
	readonly #options: GossipOptions;
	readonly #socket: Socket;
	readonly #lastSeen = new Map<string, number>();
	#isOpen = false;
	/** Peers in the own data centre, and those elsewhere. */
	readonly #groups: readonly PeerGroup[];

	constructor(options: GossipOptions) {
		this.#options = options;
		const {peers, dataCentre} = options;
		const isLocal = (peer: Peer): boolean => peer.dataCentre === dataCentre;
		const localPeers = (): Peer[] => peers().filter(peer => isLocal(peer));
		this.#groups = [
			new PeerGroup('local', localPeers, () => sendIntervalMs(localPeers().length)),
			new PeerGroup('remote', () => peers().filter(peer => !isLocal(peer)), () => sendIntervalMs(peers().length)),
		];
		this.#socket = createSocket('udp4');
		this.#socket.on('message', bytes => {
			try {
				this.#receive(String(bytes));
			} catch (error) {
				options.onError(error);
			}
		});
		// The kernel reports an error when a peer that has just ended has closed its port.
		this.#socket.on('error', () => undefined);
	}

	/** Time of the last message from a peer. */
	lastSeenMs(peer: string): number | undefined {
		return this.#lastSeen.get(peer);
	}

	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([
			this.#open(signal),
			...this.#groups.map(async group => this.#options.supervise(`gossip/${group.name}`, async () => this.#sendToGroup(group, signal), signal)),
		]);
		this.#socket.close();
	}

	async #open(signal: AbortSignal): Promise<void> {
		const {address, port, onPortFailure} = this.#options;
		this.#isOpen = await openPort('gossip', async () => {
			this.#socket.bind(port, address);
			await once(this.#socket, 'listening');
		}, {signal, onFailure: onPortFailure});
	}

	async #sendToGroup(group: PeerGroup, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await sleep(group.intervalMs(), undefined, {signal}).catch(() => undefined);
			this.#options.load.dropStalePeers();
			this.#collectSent();
			if (group.peers().length > 0) {
				this.#sendIfDue(group);
			}
		}
	}

	/** Sends a message if there is news, or if the last message or the last usage notice is too long ago. */
	#sendIfDue(group: PeerGroup): void {
		const {
			clock, load, configVersion, ownPhase, roleChanges, ownName, crashReports, departures, limitNews, accountNews, segmentNews, requestNews, streamNews, usageNotice,
		} = this.#options;
		const message = {
			from: ownName,
			configVersion: configVersion(),
			phase: ownPhase(),
			roleChanges: roleChanges(),
			load: {
				running: load.ownRunningCounts(), prefills: load.ownPendingPrefills(), sent: group.sent, speeds: group.speeds,
			},
			crashes: crashReports(),
			departures: departures(group.name),
			limitNews: limitNews(),
			accounts: accountNews(group.name),
			segments: segmentNews(group.name),
			requests: requestNews(group.name),
			streams: streamNews(group.name),
		} satisfies GossipMessage;
		group.sent = [];
		const state = describeState(message);
		const isKeepAliveDue = clock.nowMs() - group.lastSentMs >= keepAliveMs;
		const isUsageDue = clock.nowMs() - group.lastUsageSentMs >= usageIntervalMs;
		const news = message.load.sent.length + message.departures.length + message.streams.length + (message.accounts?.accounts.length ?? 0);
		if (news === 0 && state === group.lastState && !isKeepAliveDue && !isUsageDue) {
			return;
		}

		group.speeds = [];
		group.lastSentMs = clock.nowMs();
		group.lastUsageSentMs = isUsageDue ? group.lastSentMs : group.lastUsageSentMs;
		group.lastState = state;
		this.#sendToPeers(group.peers(), {...message, ...isUsageDue && {usage: usageNotice()}});
	}

	/** Keeps the latest work until each group has been told of it; a group without peers keeps none. */
	#collectSent(): void {
		const latest = this.#options.load.drainSent();
		const speeds = this.#options.load.speeds.drain();
		for (const group of this.#groups) {
			group.sent = group.peers().length === 0 ? [] : [...group.sent, ...latest];
			group.speeds = keepNewest([...group.speeds, ...speeds]);
		}
	}

	/** Sends a message to peers, in several datagrams if it does not fit into one. */
	#sendToPeers(peers: readonly Peer[], message: GossipMessage): void {
		// A socket that sends before it is bound gets a port of its own, at which no peer reaches it.
		if (!this.#isOpen) {
			return;
		}

		const text = encodeMessage(message);
		const {sent, speeds = []} = message.load;
		if (text.length > maxDatagramBytes && isDivisible(message)) {
			const half = Math.ceil(sent.length / 2);
			this.#sendToPeers(peers, {
				...message,
				load: {...message.load, sent: sent.slice(0, half), speeds: speeds.slice(0, half)},
				departures: [],
				limitNews: undefined,
				accounts: undefined,
				requests: undefined,
				streams: [],
			});
			this.#sendToPeers(peers, {
				...message, load: {...message.load, sent: sent.slice(half), speeds: speeds.slice(half)}, usage: undefined, crashes: [], segments: undefined,
			});
			return;
		}

		if (text.length > maxDatagramBytes && speeds.length > 0) {
			this.#sendToPeers(peers, {...message, load: {...message.load, speeds: []}});
			return;
		}

		for (const {address, port} of peers) {
			this.#socket.send(text, port, address);
			this.#options.metrics.countControlTransfer({purpose: 'gossip', direction: 'out', bytes: text.length});
		}
	}

	#receive(text: string): void {
		const message = decodeMessage(text);
		const peer = message && this.#options.peers().find(({name}) => name === message.from);
		if (!message || !peer) {
			return;
		}

		this.#options.metrics.countControlTransfer({purpose: 'gossip', direction: 'in', bytes: text.length});
		this.#lastSeen.set(peer.name, this.#options.clock.nowMs());
		this.#options.load.applyPeerMessage(peer.name, message.load);
		this.#options.onPhase(peer, message.phase);
		this.#options.onConfigVersion(peer, message.configVersion);
		this.#options.onRoleChanges(peer, message.roleChanges);
		if (message.crashes.length > 0) {
			this.#options.onCrashReports(message.crashes);
		}

		if (message.departures.length > 0) {
			this.#options.onDepartures(message.departures);
		}

		if (message.limitNews) {
			this.#options.onLimitNews(peer, message.limitNews);
		}

		if (message.accounts) {
			this.#options.onAccountNews(peer, message.accounts);
		}

		if (message.segments) {
			this.#options.onSegmentNews(message.segments);
		}

		if (message.requests) {
			this.#options.onRequestNews(message.requests);
		}

		if (message.streams && message.streams.length > 0) {
			this.#options.onStreamNews(message.streams);
		}

		if (message.usage) {
			this.#options.onUsage(message.usage);
		}
	}
}
