/**
 * Gossip between entries over UDP: each entry broadcasts which requests it runs at each endpoint and what it has sent since
 * its last message. Load reports of the endpoints would be older, so endpoint selection uses these messages instead. Losing a
 * datagram is harmless, because running requests are sent as absolute counts and not as changes.
 */
import {createSocket, type Socket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, type Clock, type EndpointRole, type EntryPhase, type Fingerprint,
} from '@hawthorncleat/core';
import type {CrashReport} from './crash-guard.js';
import type {SentPhase} from './entry-phases.js';
import type {SegmentNews} from './segment-quarantines.js';
import type {UsageNotice} from './usage-counter.js';
import type {
	EntryLoad, LoadTracker, PendingPrefills, RunningCount, SentWork,
} from './load-tracker.js';
import type {RoleChange} from './role-changes.js';

/** Another entry. */
export type Peer = {readonly name: string; readonly address: string; readonly port: number};

export type GossipOptions = {
	readonly clock: Clock;
	readonly ownName: string;
	readonly address: string;
	readonly port: number;
	readonly load: LoadTracker;
	readonly peers: () => readonly Peer[];
	readonly configVersion: () => number;
	readonly ownPhase: () => SentPhase;
	readonly onPhase: (peer: Peer, phase: SentPhase) => void;
	readonly roleChanges: () => readonly RoleChange[];
	readonly usageNotice: () => UsageNotice;
	readonly crashReports: () => readonly CrashReport[];
	readonly onCrashReports: (reports: readonly CrashReport[]) => void;
	readonly segmentNews: () => SegmentNews;
	readonly onSegmentNews: (news: SegmentNews) => void;
	readonly onUsage: (notice: UsageNotice) => void;
	/** Called with the engines whose role another entry is changing. */
	readonly onRoleChanges: (peer: Peer, changes: readonly RoleChange[]) => void;
	/** Called with the configuration version of another entry. */
	readonly onConfigVersion: (peer: Peer, version: number) => void;
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
const maxSegmentsPerWork = 3;

type RoleChangeTuple = readonly [endpoint: string, role: EndpointRole];
type RunningTuple = readonly [endpoint: string, requests: number, late: number, tokens: number];
type SegmentTuple = readonly [id: string, tokens: number];
type SentTuple = readonly [endpoint: string, level: number, tokens: number, outputTokens: number, segments: readonly SegmentTuple[], isRefused: 0 | 1, cachedTokens?: number];
/** An engine and, by priority level, the milliseconds of its uncompleted prefill work. */
type PrefillsTuple = readonly [endpoint: string, levels: ReadonlyArray<readonly [level: number, ms: number]>];

type CrashTuple = readonly [fingerprint: string, endpoint: string, ageMs?: number, crashes?: number];

type Message = {
	readonly from: string;
	readonly config: number;
	/** Phase of this entry and the time since it was told to stop; absent in messages of entries without phases. */
	readonly phase?: readonly [phase: EntryPhase, stoppingMs: number];
	/** Engines whose role this entry is changing. */
	readonly changing: readonly RoleChangeTuple[];
	/** Usage that is not in the store yet. Only some messages carry it. */
	readonly usage?: UsageNotice;
	/** Requests that were running at endpoints that crashed. Entries of earlier versions send neither age nor count. */
	readonly crashes?: readonly CrashTuple[];
	/** News about prompt segments that crash engines; absent without news. */
	readonly segments?: SegmentNews;
	readonly running: readonly RunningTuple[];
	/** Prefills that have not completed. Entries of earlier versions do not report them. */
	readonly prefills?: readonly PrefillsTuple[];
	readonly sent: readonly SentTuple[];
};

const isSegmentNews = (value: unknown): boolean => {
	const {crashes, completed, quarantines} = (value ?? {}) as Partial<SegmentNews>;
	return Array.isArray(crashes) && Array.isArray(completed) && Array.isArray(quarantines);
};

const isMessage = (value: unknown): value is Message => {
	const {from, config, phase, changing, running, prefills, segments, sent} = (value ?? {}) as Partial<Message>;
	const hasPhase = phase === undefined || Array.isArray(phase);
	const hasNews = segments === undefined || isSegmentNews(segments);
	const hasPrefills = prefills === undefined || Array.isArray(prefills);
	return hasPhase && hasNews && hasPrefills && typeof from === 'string' && typeof config === 'number' && Array.isArray(changing) && Array.isArray(running) && Array.isArray(sent);
};

const parseMessage = (text: string): Message | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isMessage(value) ? value : undefined;
	} catch {
		// A damaged datagram counts as lost.
		return undefined;
	}
};

const encodeRunning = ({endpoint, requests, late, tokens}: RunningCount): RunningTuple => [endpoint, requests, late, Math.round(tokens)];

/** Omits the last prompt segment: it belongs to one request or session, so no other request shares its KV cache. */
const encodeSent = ({endpoint, level, tokens, cachedTokens, outputTokens, segments: parts, isRefused}: SentWork): SentTuple => [
	endpoint,
	level,
	Math.round(tokens),
	Math.round(outputTokens),
	parts.slice(0, Math.max(0, Math.min(maxSegmentsPerWork, parts.length - 1))).map(({id, tokens}) => [id, tokens] as const),
	isRefused ? 1 : 0,
	Math.round(cachedTokens),
];

const encodePrefills = ({endpoint, work}: PendingPrefills): PrefillsTuple => [endpoint, work.map(({level, ms}) => [level, Math.round(ms)] as const)];

const decodePrefills = ([endpoint, levels]: PrefillsTuple): PendingPrefills => ({endpoint, work: levels.map(([level, ms]) => ({level, ms}))});

const encodeCrash = ({fingerprint, endpoint, ageMs, crashes}: CrashReport): CrashTuple => [fingerprint, endpoint, Math.round(ageMs), crashes];

const decodeCrash = ([fingerprint, endpoint, ageMs = 0, crashes = 0]: CrashTuple): CrashReport => ({
	fingerprint: brandAs<Fingerprint>(fingerprint), endpoint, ageMs, crashes,
});

const hasSegmentNews = ({crashes, completed, quarantines}: SegmentNews): boolean => crashes.length + completed.length + quarantines.length > 0;

/** What is new to the receivers, without the ages, which change all the time. */
const segmentNewsKeys = ({crashes, completed, quarantines}: SegmentNews): unknown =>
	[crashes.map(({endpoint}) => endpoint), [...completed, ...quarantines].map(({segment}) => segment)];

const roundAges = (news: SegmentNews): SegmentNews => ({
	crashes: news.crashes.map(crash => ({...crash, ageMs: Math.round(crash.ageMs), startedBeforeMs: Math.round(crash.startedBeforeMs)})),
	completed: news.completed.map(({segment, ageMs}) => ({segment, ageMs: Math.round(ageMs)})),
	quarantines: news.quarantines.map(quarantine => ({
		...quarantine, refutedAgeMs: Math.round(quarantine.refutedAgeMs), remainingMs: Math.round(quarantine.remainingMs),
	})),
});

const decodeLoad = ({running, prefills, sent}: Message): EntryLoad => ({
	running: running.map(([endpoint, requests, late, tokens]) => ({
		endpoint, requests, late, tokens,
	})),
	prefills: prefills?.map(tuple => decodePrefills(tuple)),
	sent: sent.map(([endpoint, level, tokens, outputTokens, segments, isRefused, cachedTokens = 0]) => ({
		endpoint, level, tokens, cachedTokens, outputTokens, segments: segments.map(([id, tokens]) => ({id, tokens})), isRefused: isRefused === 1,
	})),
});

/** Interval between two messages of an entry, by the number of its peers. */
export const sendIntervalMs = (peers: number): number => Math.min(maxSendIntervalMs, Math.max(minSendIntervalMs, peers * sendIntervalPerPeerMs));

export class Gossip {
	readonly #options: GossipOptions;
	readonly #socket: Socket;
	readonly #lastSeen = new Map<string, number>();
	#lastSentMs = Number.NEGATIVE_INFINITY;
	#lastUsageSentMs = Number.NEGATIVE_INFINITY;
	#lastState = '';

	constructor(options: GossipOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', bytes => {
			this.#receive(String(bytes));
		});
		// The kernel reports an error when a peer that has just ended has closed its port.
		this.#socket.on('error', () => undefined);
	}

	/** Time of the last message from a peer. */
	lastSeenMs(peer: string): number | undefined {
		return this.#lastSeen.get(peer);
	}

	async run(signal: AbortSignal): Promise<void> {
		const {address, port} = this.#options;
		this.#socket.bind(port, address);
		while (!signal.aborted) {
			await sleep(sendIntervalMs(this.#options.peers().length), undefined, {signal}).catch(() => undefined);
			this.#options.load.dropStalePeers();
			this.#sendIfDue();
		}

		this.#socket.close();
	}

	/** Sends a message if there is news, or if the last message or the last usage notice is too long ago. */
	#sendIfDue(): void {
		const {clock, load, configVersion, ownPhase, roleChanges, ownName} = this.#options;
		const {phase, stoppingMs} = ownPhase();
		const running = load.ownRunningCounts().map(count => encodeRunning(count));
		const prefills = load.ownPendingPrefills();
		const sent = load.drainSent().map(work => encodeSent(work));
		const crashes = this.#options.crashReports().map(report => encodeCrash(report));
		const segments = this.#options.segmentNews();
		const changes = roleChanges().map(({endpoint, role}) => [endpoint, role] as const);
		const state = JSON.stringify([running, prefills.map(({endpoint}) => endpoint), changes, crashes.map(([fingerprint, endpoint]) => [fingerprint, endpoint]), segmentNewsKeys(segments), phase]);
		const isKeepAliveDue = clock.nowMs() - this.#lastSentMs >= keepAliveMs;
		const isUsageDue = clock.nowMs() - this.#lastUsageSentMs >= usageIntervalMs;
		if (sent.length === 0 && state === this.#lastState && !isKeepAliveDue && !isUsageDue) {
			return;
		}

		this.#lastSentMs = clock.nowMs();
		this.#lastState = state;
		this.#sendToPeers({
			from: ownName,
			config: configVersion(),
			phase: [phase, stoppingMs],
			changing: changes,
			running,
			prefills: prefills.map(pending => encodePrefills(pending)),
			sent,
			...crashes.length > 0 && {crashes},
			...hasSegmentNews(segments) && {segments: roundAges(segments)},
			...isUsageDue && {usage: this.#createUsageNotice()},
		});
	}

	#createUsageNotice(): UsageNotice {
		this.#lastUsageSentMs = this.#options.clock.nowMs();
		return this.#options.usageNotice();
	}

	/** Sends a message to all peers, in several datagrams if it does not fit into one. */
	#sendToPeers(message: Message): void {
		const text = JSON.stringify(message);
		if (text.length > maxDatagramBytes && message.sent.length > 1) {
			const half = Math.ceil(message.sent.length / 2);
			this.#sendToPeers({...message, sent: message.sent.slice(0, half)});
			this.#sendToPeers({
				...message, sent: message.sent.slice(half), usage: undefined, crashes: undefined, segments: undefined,
			});
			return;
		}

		for (const {address, port} of this.#options.peers()) {
			this.#socket.send(text, port, address);
		}
	}

	#receive(text: string): void {
		const message = parseMessage(text);
		const peer = message && this.#options.peers().find(({name}) => name === message.from);
		if (!message || !peer) {
			return;
		}

		this.#lastSeen.set(peer.name, this.#options.clock.nowMs());
		this.#options.load.applyPeerMessage(peer.name, decodeLoad(message));
		const [phase, stoppingMs] = message.phase ?? ['ready', 0];
		this.#options.onPhase(peer, {phase, stoppingMs});
		this.#options.onConfigVersion(peer, message.config);
		this.#options.onRoleChanges(peer, message.changing.map(([endpoint, role]) => ({endpoint, role})));
		if (message.crashes) {
			this.#options.onCrashReports(message.crashes.map(crash => decodeCrash(crash)));
		}

		if (message.segments) {
			this.#options.onSegmentNews(message.segments);
		}

		if (message.usage) {
			this.#options.onUsage(message.usage);
		}
	}
}
