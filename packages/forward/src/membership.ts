/**
 * The entries of the fleet, as each one has written itself into the store. A row outlives its entry, so whether a peer
 * lives is judged by its messages.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {DecisionLog} from './decision-log.js';
import type {Peer} from './gossip.js';
import type {RowStore, StoreAnswer} from './ports.js';
import type {CorrectedClock} from './corrected-clock.js';

/** What an entry writes of itself. */
export type Member = {
	readonly address: string;
	readonly gossipPort: number;
	readonly peerPort: number;
	/** Difference of the entry's time of day from the store's steady clock. */
	readonly wallOffsetMs: number;
};

/** Pause between two looks at the own row. */
const announcePauseMs = 250;
/** An entry that is silent for longer does not count as one that shares the limits. */
const liveMs = 4000;

const readMember = (text: string): Member | undefined => {
	try {
		const value = JSON.parse(text) as Partial<Member>;
		return typeof value.address === 'string' && typeof value.gossipPort === 'number' && typeof value.peerPort === 'number' && typeof value.wallOffsetMs === 'number'
			? value as Member
			: undefined;
	} catch {
		return undefined;
	}
};

export class Membership {
	readonly #clock: Clock;
	readonly #self: string;
	readonly #heardMs: (peer: string) => number | undefined;
	readonly #members = new Map<string, Member>();
	#peers: Peer[] = [];

	constructor(clock: Clock, self: string, heardMs: (peer: string) => number | undefined) {
		this.#clock = clock;
		this.#self = self;
		this.#heardMs = heardMs;
	}

	peers(): readonly Peer[] {
		return this.#peers;
	}

	member(name: string): Member | undefined {
		return this.#members.get(name);
	}

	/** Differences between the members' times of day and the store's clock. */
	wallOffsets(): number[] {
		return [...this.#members.values()].map(({wallOffsetMs}) => wallOffsetMs);
	}

	/** Entries that live, this one included. */
	liveCount(): number {
		const oldestMs = this.#clock.nowMs() - liveMs;
		return 1 + this.#peers.filter(({name}) => (this.#heardMs(name) ?? Number.NEGATIVE_INFINITY) > oldestMs).length;
	}

	apply({rows}: StoreAnswer, isWhole: boolean): void {
		if (isWhole) {
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
			.filter(([name]) => name !== this.#self)
			.map(([name, {address, gossipPort}]) => ({name, address, port: gossipPort}));
	}

	/** Whether the own row says where this entry is reached. */
	hasOwnRow({address, gossipPort, peerPort}: Omit<Member, 'wallOffsetMs'>): boolean {
		const own = this.#members.get(this.#self);
		return own?.address === address && own.gossipPort === gossipPort && own.peerPort === peerPort;
	}

	/** Writes this entry's own row. */
	async writeOwnRow(rows: RowStore, member: Member): Promise<void> {
		this.#members.set(this.#self, member);
		await rows.write('members', [{key: this.#self, value: JSON.stringify(member)}]);
	}
}

export type OwnRowOptions = {
	readonly rows: RowStore;
	readonly members: Membership;
	readonly correctedClock: CorrectedClock;
	/** Time of day. */
	readonly wallNowMs: () => number;
	readonly log: DecisionLog;
	/** Where this entry is reached. */
	readonly ownAddresses: Omit<Member, 'wallOffsetMs'>;
};

/** Writes this entry into the store until `signal` aborts, also when another host has had its name before. */
export const maintainOwnRow = async ({rows, members, correctedClock: time, wallNowMs: wallMs, log, ownAddresses: place}: OwnRowOptions, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		const storeNowMs = time.storeNowMs();
		if (storeNowMs !== undefined && !members.hasOwnRow(place)) {
			try {
				await members.writeOwnRow(rows, {...place, wallOffsetMs: wallMs() - storeNowMs});
			} catch (error) {
				log.writeError('writing the own member row', error);
			}
		}

		await sleep(announcePauseMs, undefined, {signal}).catch(() => undefined);
	}
};
