/**
 * Tracks the entries of the fleet by the member rows that they write into the store. A row outlives its entry, so a peer counts
 * as live only while its gossip messages arrive.
 */
import {isIPv4} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, EntryPosition} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {RowStore, StoreAnswer} from '../ports.js';
import type {CorrectedClock} from '../store/corrected-clock.js';
import {isFields, isText, parseJson} from '../utils/value-checks.js';
import type {Peer} from './peer-group.js';

/** The row that an entry writes about itself. */
export type Member = {
	readonly address: string;
	readonly gossipPort: number;
	readonly peerPort: number;
	/** Absent in the rows of entries of earlier versions. */
	readonly dataCentre?: string;
	/** Offset of the entry's wall clock from the store's monotonic clock. */
	readonly wallOffsetMs: number;
};

/** How often an entry checks that its own row is still there. */
const rowCheckIntervalMs = 250;
/** An entry without a message for this time no longer counts among those that share the limits. */
const peerTimeoutMs = 4000;
/** Peers send at least once a second, so one that is heard has sent within the time of two messages. */
const hearingMs = 2000;
/**
 * Peers count among those that share the limits for this time after they fell silent: what they spent still counts within the window of a limit, and behind a
 * cut they go on spending.
 */
const sharingRetentionMs = 60_000;

/** Entries have noticed the store's return from an older copy within 4 s, the longest wait of a call for the configuration, and have then written their rows again. */
const rewriteMs = 5000;

/** A datagram to another address or port is an error of the sender, so such a row is not of an entry. */
const isPort = (value: unknown): value is number => Number.isInteger(value) && (value as number) > 0 && (value as number) < 65_536;

const isAddress = (value: unknown): value is string => typeof value === 'string' && isIPv4(value);

const isOffset = (value: unknown): value is number => Number.isFinite(value);

const readMember = (text: string): Member | undefined => {
	const value = parseJson(text);
	if (!isFields(value)) {
		return undefined;
	}

	const {address, gossipPort, peerPort, dataCentre, wallOffsetMs} = value;
	return isAddress(address) && isPort(gossipPort) && isPort(peerPort) && (dataCentre === undefined || isText(dataCentre)) && isOffset(wallOffsetMs)
		? {
			address, gossipPort, peerPort, dataCentre, wallOffsetMs,
		}
		: undefined;
};

export class Membership {
	readonly #clock: Clock;
	readonly #ownName: string;
	readonly #lastSeenMs: (peer: string) => number | undefined;
	readonly #members = new Map<string, Member>();
	#peers: Peer[] = [];
	#storeReturnedMs = Number.NEGATIVE_INFINITY;
	/** The store may have lost or not taken this entry's row. */
	#mustWriteOwnRow = false;
	/** The highest number of entries lately, and when it was last reached. */
	#sharing = {count: 1, atMs: Number.NEGATIVE_INFINITY};

	constructor(clock: Clock, ownName: string, lastSeenMs: (peer: string) => number | undefined) {
		this.#clock = clock;
		this.#ownName = ownName;
		this.#lastSeenMs = lastSeenMs;
	}

	peers(): readonly Peer[] {
		return this.#peers;
	}

	member(name: string): Member | undefined {
		return this.#members.get(name);
	}

	/** Offsets of the members' wall clocks from the store's clock. */
	wallOffsets(): number[] {
		return [...this.#members.values()].map(({wallOffsetMs}) => wallOffsetMs);
	}

	/** Number of live entries, including this one. */
	liveCount(): number {
		return 1 + this.#livePeers().length;
	}

	/** The other entries in the store, and those of them with a recent message. A row outlives its entry. */
	hearing(): {readonly registered: number; readonly heard: number} {
		const sinceMs = this.#clock.nowMs() - hearingMs;
		const heard = this.#peers.filter(({name}) => (this.#lastSeenMs(name) ?? Number.NEGATIVE_INFINITY) > sinceMs);
		return {registered: this.#peers.length, heard: heard.length};
	}

	/** Position of this entry among the live ones. Entries that see the same ones have different positions. */
	position(): EntryPosition {
		const peers = this.#livePeers();
		return {index: peers.filter(({name}) => name < this.#ownName).length, count: 1 + peers.length};
	}

	/**
	 * Number of entries among which the limits of the fleet are shared: the highest number of live ones lately. An entry that has received no message yet
	 * counts the registered ones.
	 */
	sharingCount(): number {
		const nowMs = this.#clock.nowMs();
		const live = this.#hasHeardPeers() ? this.liveCount() : 1 + this.#peers.length;
		if (live >= this.#sharing.count || nowMs - this.#sharing.atMs >= sharingRetentionMs) {
			this.#sharing = {count: live, atMs: nowMs};
		}

		return this.#sharing.count;
	}

	/**
	 * Records that the store has returned from an older copy: rows of the last seconds are lost. Their entries go on counting as members until
	 * they had the time to write them again, and this entry writes its own again.
	 */
	recordStoreReturn(): void {
		this.#storeReturnedMs = this.#clock.nowMs();
		this.#mustWriteOwnRow = true;
	}

	/** Applies member rows of the store. A snapshot replaces all members, except shortly after the store's return from an older copy. */
	apply({rows}: StoreAnswer, isSnapshot: boolean): void {
		if (isSnapshot && this.#clock.nowMs() - this.#storeReturnedMs >= rewriteMs) {
			this.#members.clear();
		}

		for (const {key, value} of rows) {
			const member = value === undefined ? undefined : readMember(value);
			if (member) {
				this.#members.set(key, member);
			} else {
				this.#members.delete(key);
			}
		}

		this.#peers = [...this.#members]
			.filter(([name]) => name !== this.#ownName)
			.map(([name, {address, gossipPort, dataCentre}]) => ({
				name, address, port: gossipPort, dataCentre,
			}));
	}

	/** Offset of the wall clock in this entry's row; undefined without a row with its current addresses. */
	ownWallOffsetMs({address, gossipPort, peerPort}: Omit<Member, 'wallOffsetMs'>): number | undefined {
		const own = this.#members.get(this.#ownName);
		return own?.address === address && own.gossipPort === gossipPort && own.peerPort === peerPort ? own.wallOffsetMs : undefined;
	}

	/** Whether the store has this entry's row, with its current addresses. */
	hasOwnRow(ownAddresses: Omit<Member, 'wallOffsetMs'>): boolean {
		const hasDataCentre = this.#members.get(this.#ownName)?.dataCentre === ownAddresses.dataCentre;
		return !this.#mustWriteOwnRow && hasDataCentre && this.ownWallOffsetMs(ownAddresses) !== undefined;
	}

	/** Writes this entry's row. */
	async writeOwnRow(rows: RowStore, member: Member): Promise<void> {
		this.#members.set(this.#ownName, member);
		this.#mustWriteOwnRow = true;
		await rows.write('members', [{key: this.#ownName, value: JSON.stringify(member)}]);
		this.#mustWriteOwnRow = false;
	}

	#livePeers(): Peer[] {
		const liveSinceMs = this.#clock.nowMs() - peerTimeoutMs;
		return this.#peers.filter(({name}) => (this.#lastSeenMs(name) ?? Number.NEGATIVE_INFINITY) > liveSinceMs);
	}

	#hasHeardPeers(): boolean {
		return this.#peers.some(({name}) => this.#lastSeenMs(name) !== undefined);
	}
}

export type OwnRowOptions = {
	/** Steady clock of this process, the one of the corrected clock. */
	readonly clock: Clock;
	readonly rows: RowStore;
	readonly members: Membership;
	readonly correctedClock: CorrectedClock;
	/** Wall clock of this host. */
	readonly wallNowMs: () => number;
	readonly log: DecisionLog;
	/** Address and ports at which other entries reach this one. */
	readonly ownAddresses: Omit<Member, 'wallOffsetMs'>;
};

const writeMissingRow = async ({rows, members, log, ownAddresses}: OwnRowOptions, wallOffsetMs: number): Promise<void> => {
	if (members.hasOwnRow(ownAddresses)) {
		return;
	}

	try {
		await members.writeOwnRow(rows, {...ownAddresses, wallOffsetMs});
	} catch (error) {
		log.writeError('writing this entry\'s member row', error);
	}
};

/**
 * Writes this entry's row whenever it is missing or has other addresses, for example those of a former host of the same name. A row that is written
 * again has the wall clock of the start, or the one of the row that an earlier process of this entry has left, so that a clock step since then stays
 * without effect. Runs until `signal` aborts.
 */
export const maintainOwnRow = async (options: OwnRowOptions, signal: AbortSignal): Promise<void> => {
	const {clock, members, correctedClock, wallNowMs, ownAddresses} = options;
	const startAheadMs = wallNowMs() - clock.nowMs();
	let wallAheadMs: number | undefined;
	while (!signal.aborted) {
		const storeNowMs = correctedClock.storeNowMs();
		if (storeNowMs !== undefined) {
			const earlierOffsetMs = members.ownWallOffsetMs(ownAddresses);
			wallAheadMs ??= earlierOffsetMs === undefined ? startAheadMs : earlierOffsetMs + storeNowMs - clock.nowMs();
			await writeMissingRow(options, clock.nowMs() + wallAheadMs - storeNowMs);
		}

		await sleep(rowCheckIntervalMs, undefined, {signal}).catch(() => undefined);
	}
};
