/**
 * Datagrams between entries: what each one runs and has sent. They replace reports of the endpoints, so that a choice
 * rests on what was sent a moment ago. A lost datagram is harmless: running requests are told as whole counts.
 */
import {createSocket, type Socket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, type Clock, type EndpointRole, type Fingerprint,
} from '@hawthorncleat/core';
import type {CrashReport} from './crash-guard.js';
import type {UsageNotice} from './usage-counter.js';
import type {ModelLoad, RunningCount, SentWork} from './model-load.js';
import type {RoleChange} from './role-changes.js';

/** Another entry. */
export type Peer = {readonly name: string; readonly address: string; readonly port: number};

export type GossipOptions = {
	readonly clock: Clock;
	readonly ownName: string;
	readonly address: string;
	readonly port: number;
	readonly load: ModelLoad;
	readonly peers: () => readonly Peer[];
	readonly configVersion: () => number;
	readonly roleChanges: () => readonly RoleChange[];
	readonly usageNotice: () => UsageNotice;
	readonly crashReports: () => readonly CrashReport[];
	readonly onCrashReports: (marks: readonly CrashReport[]) => void;
	readonly onUsage: (notice: UsageNotice) => void;
	/** Hears of the engines whose role another entry is changing. */
	readonly onRoleChanges: (peer: Peer, changes: readonly RoleChange[]) => void;
	/** Hears of the configuration version of another entry. */
	readonly onConfigVersion: (peer: Peer, version: number) => void;
};

/** Load messages are about as old as this when they arrive; half the time of a short prefill. */
const minSendPauseMs = 60;
/** Each further peer costs a datagram in each direction, so the pause grows with their number and their rate stays the same. */
const sendPausePerPeerMs = 8;
/** Messages that are older tell nothing of short requests any more. */
const maxSendPauseMs = 1000;
/** Sent at least this often, so that peers know that this entry lives. */
const keepAliveMs = 1000;
/** Usage that only this process knows is lost with it, so it is told about as often as it is written. */
const usagePauseMs = 900;
/** A datagram stays within one packet of an ordinary link. */
const maxDatagramBytes = 1400;
const maxPartsPerWork = 3;

type Changing = readonly [endpoint: string, role: EndpointRole];
type Running = readonly [endpoint: string, requests: number, late: number, tokens: number];
type Sent = readonly [endpoint: string, level: number, tokens: number, outputTokens: number, parts: ReadonlyArray<readonly [id: string, tokens: number]>, isRefused: 0 | 1];

type Message = {
	readonly from: string;
	readonly config: number;
	/** Engines whose role this entry is changing. */
	readonly changing: readonly Changing[];
	/** Usage that the store does not have yet; not in every message. */
	readonly usage?: UsageNotice;
	/** Requests that ran at a crash, with the crash. */
	readonly crashes?: ReadonlyArray<readonly [fingerprint: string, source: string]>;
	readonly running: readonly Running[];
	readonly sent: readonly Sent[];
};

const isMessage = (value: unknown): value is Message => {
	const {from, config, changing, running, sent} = (value ?? {}) as Partial<Message>;
	return typeof from === 'string' && typeof config === 'number' && Array.isArray(changing) && Array.isArray(running) && Array.isArray(sent);
};

const parse = (text: string): Message | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isMessage(value) ? value : undefined;
	} catch {
		// A damaged datagram counts as lost.
		return undefined;
	}
};

const encodeRunning = ({endpoint, requests, late, tokens}: RunningCount): Running => [endpoint, requests, late, Math.round(tokens)];

/** The last part belongs to one request or session and is not worth its bytes. */
const encodeSent = ({endpoint, level, tokens, outputTokens, parts, isRefused}: SentWork): Sent => [
	endpoint,
	level,
	Math.round(tokens),
	Math.round(outputTokens),
	parts.slice(0, Math.max(0, Math.min(maxPartsPerWork, parts.length - 1))).map(({id, tokens}) => [id, tokens] as const),
	isRefused ? 1 : 0,
];

/** Pause between two messages of an entry with so many peers. */
export const sendIntervalMs = (peers: number): number => Math.min(maxSendPauseMs, Math.max(minSendPauseMs, peers * sendPausePerPeerMs));

export class Gossip {
	readonly #options: GossipOptions;
	readonly #socket: Socket;
	readonly #heard = new Map<string, number>();
	#sentMs = Number.NEGATIVE_INFINITY;
	#usageSentMs = Number.NEGATIVE_INFINITY;
	#lastRunning = '';

	constructor(options: GossipOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', bytes => {
			this.#hear(String(bytes));
		});
		// A peer that has just ended makes the kernel report its closed port.
		this.#socket.on('error', () => undefined);
	}

	/** When a peer was last heard. */
	lastSeenMs(peer: string): number | undefined {
		return this.#heard.get(peer);
	}

	async run(signal: AbortSignal): Promise<void> {
		const {address, port} = this.#options;
		this.#socket.bind(port, address);
		while (!signal.aborted) {
			await sleep(sendIntervalMs(this.#options.peers().length), undefined, {signal}).catch(() => undefined);
			this.#options.load.dropSilent();
			this.#send();
		}

		this.#socket.close();
	}

	#send(): void {
		const {clock, load, configVersion, roleChanges: changing, ownName: self} = this.#options;
		const running = load.ownRunning().map(count => encodeRunning(count));
		const sent = load.takeSent().map(work => encodeSent(work));
		const crashes = this.#options.crashReports().map(({fingerprint, endpoint}) => [fingerprint, endpoint] as const);
		const changes = changing().map(({endpoint, role}) => [endpoint, role] as const);
		const text = JSON.stringify([running, changes, crashes]);
		const isDue = clock.nowMs() - this.#sentMs >= keepAliveMs;
		const isUsageDue = clock.nowMs() - this.#usageSentMs >= usagePauseMs;
		if (sent.length === 0 && text === this.#lastRunning && !isDue && !isUsageDue) {
			return;
		}

		this.#sentMs = clock.nowMs();
		this.#lastRunning = text;
		this.#sendAll({
			from: self, config: configVersion(), changing: changes, running, sent, ...crashes.length > 0 && {crashes}, ...isUsageDue && {usage: this.#takeUsage()},
		});
	}

	#takeUsage(): UsageNotice {
		this.#usageSentMs = this.#options.clock.nowMs();
		return this.#options.usageNotice();
	}

	#sendAll(message: Message): void {
		const text = JSON.stringify(message);
		if (text.length > maxDatagramBytes && message.sent.length > 1) {
			const half = Math.ceil(message.sent.length / 2);
			this.#sendAll({...message, sent: message.sent.slice(0, half)});
			this.#sendAll({
				...message, sent: message.sent.slice(half), usage: undefined, crashes: undefined,
			});
			return;
		}

		for (const {address, port} of this.#options.peers()) {
			this.#socket.send(text, port, address);
		}
	}

	#hear(text: string): void {
		const message = parse(text);
		const peer = message && this.#options.peers().find(({name}) => name === message.from);
		if (!message || !peer) {
			return;
		}

		this.#heard.set(peer.name, this.#options.clock.nowMs());
		this.#options.load.hear(
			peer.name,
			message.running.map(([endpoint, requests, late, tokens]) => ({
				endpoint, requests, late, tokens,
			})),
			message.sent.map(([endpoint, level, tokens, outputTokens, parts, isRefused]) => ({
				endpoint, level, tokens, outputTokens, parts: parts.map(([id, tokens]) => ({id, tokens})), isRefused: isRefused === 1,
			})),
		);
		this.#options.onConfigVersion(peer, message.config);
		this.#options.onRoleChanges(peer, message.changing.map(([endpoint, role]) => ({endpoint, role})));
		if (message.crashes) {
			this.#options.onCrashReports(message.crashes.map(([fingerprint, endpoint]) => ({fingerprint: brandAs<Fingerprint>(fingerprint), endpoint})));
		}

		if (message.usage) {
			this.#options.onUsage(message.usage);
		}
	}
}
