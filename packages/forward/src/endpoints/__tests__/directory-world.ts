/**
 * Two entries that read the endpoints from a store and gossip, in steps of 100 ms on a manual clock, without a network. It plays faults and checks after
 * each step which endpoints an entry may and must use.
 */
import {brandAs, type EndpointId, type StoreGeneration} from '@hawthorncleat/core';
import {createManualClock} from '@hawthorncleat/test-kit';
import {decodeMessage, encodeMessage} from '../../peers/gossip-message.js';
import type {StoreRow} from '../../ports.js';
import {
	expiryMs, SimulatedFleet, stepMs, type ProcessKey, type Rows,
} from '../../peers/__tests__/simulated-fleet.js';
import {
	createDirectory, createRow, heartbeatMs, type DirectoryFixture,
} from './directory-fixture.js';

const readIntervalMs = 400;
const gossipIntervalMs = 300;
const firstRetryMs = 100;
const maxRetryMs = 800;
const reregistrationMs = 2000;
/** A request may reach an endpoint until then after its registration was removed. */
const drainMs = 2000;

/** When an entry read for the first time that a process has left, and whether its registration could not have expired by then. */
type FirstRead = {readonly atMs: number; readonly isCertain: boolean; readonly seenHeartbeat: number};

type Seen = {readonly startedAt: number; readonly heartbeat: number};

type Entry = DirectoryFixture & {
	cutUntilMs: number;
	/** Until then its calls for endpoints fail, while the store answers those for other tables. */
	connectionLostUntilMs: number;
	/** Last answer of the store to any call. */
	answeredMs: number;
	/** Until then registrations may be missing that expired during an outage. */
	mayKeepUntilMs: number;
	nextReadMs: number;
	retryMs: number;
	/** What it has read; undefined if it reads a snapshot next. */
	rows: Rows | undefined;
	generation: number;
	copyReturnMs: number;
	/** Since then all calls have succeeded. */
	stableSinceMs: number;
	isAvailable: boolean;
	/** Newest heartbeats that it has read. */
	readonly seen: Map<string, Seen>;
	readonly firstReads: Map<ProcessKey, FirstRead>;
	/** Processes that said that they leave, as `id/startedAt`. */
	readonly saidLeaving: Set<string>;
};

/** How often something happened, so that a test can show that its runs are not empty. */
export type Occurrences = Record<'atOnce' | 'kept' | 'lostConnections' | 'saidLeaving' | 'toldByPeer', number>;

const keyOf = ({id, startedAt}: ProcessKey): string => `${id}/${startedAt}`;

const isOlder = (a: Seen, b: Seen): boolean => a.startedAt < b.startedAt || (a.startedAt === b.startedAt && a.heartbeat < b.heartbeat);

const changesOf = (before: Rows | undefined, rows: Rows): StoreRow[] => [
	...[...rows].filter(([id, row]) => before?.get(id) !== row).map(([id, {heartbeat, isLeaving, startedAt}]) => createRow(id, {heartbeat, isLeaving, startedAt})),
	...[...before?.keys() ?? []].filter(id => !rows.has(id)).map(key => ({key, value: undefined, version: 2})),
];

export class DirectoryWorld {
	readonly occurrences: Occurrences = {
		atOnce: 0, kept: 0, lostConnections: 0, saidLeaving: 0, toldByPeer: 0,
	};

	readonly fleet: SimulatedFleet;
	readonly #clock = createManualClock(100_000);
	readonly #entries = [0, 1].map(index => this.#createEntry(index));
	#gossipCutUntilMs = 0;
	#nextGossipMs = 0;

	constructor() {
		this.fleet = new SimulatedFleet(this.#clock);
	}

	drain(id: string): void {
		Object.assign(this.fleet.processes.get(id) ?? {}, {isLeaving: true, nextBeatMs: this.#clock.nowMs()});
	}

	silence(id: string, ms: number): void {
		Object.assign(this.fleet.processes.get(id) ?? {}, {silentUntilMs: this.#clock.nowMs() + ms});
	}

	answerLeaving(id: string, index: number): void {
		const process = this.fleet.processes.get(id);
		const entry = this.#entries[index];
		if (process && entry) {
			this.occurrences.saidLeaving += 1;
			process.hasSaidLeaving = true;
			entry.saidLeaving.add(keyOf(process));
			entry.directory.recordLeaving({id: brandAs<EndpointId>(id), startedAt: process.startedAt}, 'answer');
		}
	}

	/** Cuts one entry off from the store. */
	cut(index: number, ms: number): void {
		this.#entries[index]!.cutUntilMs = this.#clock.nowMs() + ms;
	}

	/** Makes the connection of one entry go silent on which it reads the endpoints. */
	loseConnection(index: number, ms: number): void {
		this.occurrences.lostConnections += 1;
		this.#entries[index]!.connectionLostUntilMs = this.#clock.nowMs() + ms;
	}

	cutGossip(ms: number): void {
		this.#gossipCutUntilMs = this.#clock.nowMs() + ms;
	}

	/** Writes once more the newest registration that both entries have read. */
	writeLate(id: string): void {
		const [first, second] = this.#entries.map(({seen}) => seen.get(id));
		if (first && second) {
			this.fleet.write(id, {...isOlder(first, second) ? first : second, isLeaving: false});
		}
	}

	/** Plays one step and returns what went wrong. */
	step(): string | undefined {
		this.#clock.advance(stepMs);
		this.fleet.step();
		const nowMs = this.#clock.nowMs();
		for (const entry of this.#entries) {
			if (nowMs >= entry.nextReadMs) {
				this.#readStore(entry);
			}

			entry.directory.removeExpired();
		}

		if (nowMs >= Math.max(this.#nextGossipMs, this.#gossipCutUntilMs)) {
			this.#nextGossipMs = nowMs + gossipIntervalMs;
			this.#gossip(this.#entries[0]!, this.#entries[1]!);
			this.#gossip(this.#entries[1]!, this.#entries[0]!);
		}

		this.#countChanges();
		return this.#entries.map(entry => this.#findForbidden(entry) ?? this.#findUnused(entry)).find(problem => problem !== undefined);
	}

	#createEntry(index: number): Entry {
		const nowMs = this.#clock.nowMs();
		return {
			...createDirectory(this.#clock),
			cutUntilMs: 0,
			connectionLostUntilMs: 0,
			answeredMs: nowMs,
			mayKeepUntilMs: 0,
			nextReadMs: nowMs + (index * 170),
			retryMs: firstRetryMs,
			rows: undefined,
			generation: 1,
			copyReturnMs: Number.NEGATIVE_INFINITY,
			stableSinceMs: nowMs,
			isAvailable: true,
			seen: new Map(),
			firstReads: new Map(),
			saidLeaving: new Set(),
		};
	}

	#readStore(entry: Entry): void {
		const nowMs = this.#clock.nowMs();
		const {rows, generation, isUp} = this.fleet;
		const isAnswered = isUp && nowMs >= entry.cutUntilMs;
		if (isAnswered) {
			this.#recordAnswer(entry);
		}

		if (!isAnswered || nowMs < entry.connectionLostUntilMs) {
			entry.directory.setStoreAvailable(false);
			Object.assign(entry, {
				isAvailable: false, rows: undefined, nextReadMs: nowMs + entry.retryMs, retryMs: Math.min(maxRetryMs, entry.retryMs * 2),
			});
			return;
		}

		entry.directory.setStoreAvailable(true);
		if (entry.generation !== generation) {
			entry.directory.recordStoreReturn();
			Object.assign(entry, {
				generation, copyReturnMs: nowMs, rows: undefined, stableSinceMs: nowMs,
			});
		}

		this.#recordFirstReads(entry);
		this.#recordSeen(entry);
		entry.directory.apply({
			rows: changesOf(entry.rows, rows), version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: brandAs<StoreGeneration>(generation),
		}, entry.rows === undefined);
		Object.assign(entry, {
			stableSinceMs: entry.isAvailable ? entry.stableSinceMs : nowMs, isAvailable: true, rows: new Map(rows), nextReadMs: nowMs + readIntervalMs, retryMs: firstRetryMs,
		});
	}

	#recordAnswer(entry: Entry): void {
		const nowMs = this.#clock.nowMs();
		const outageMs = nowMs - entry.answeredMs;
		const isLong = outageMs >= expiryMs;
		// In two intervals registrations can expire, too, but there only those are kept that an outage shortly before may have cost.
		const isContinued = outageMs >= expiryMs - heartbeatMs && entry.answeredMs < entry.mayKeepUntilMs;
		entry.mayKeepUntilMs = isLong || isContinued ? nowMs + reregistrationMs : entry.mayKeepUntilMs;
		entry.answeredMs = nowMs;
		entry.directory.recordStoreAnswer();
	}

	#recordFirstReads(entry: Entry): void {
		const nowMs = this.#clock.nowMs();
		for (const left of this.fleet.departed) {
			const row = this.fleet.rows.get(left.id);
			const seen = entry.seen.get(left.id);
			const first = entry.firstReads.get(left);
			const isRegistered = row?.startedAt === left.startedAt;
			if (first && isRegistered && row.heartbeat > first.seenHeartbeat) {
				// A copy has a heartbeat that this entry had not read before it read the removal: it looks like one of a live process.
				entry.firstReads.delete(left);
			} else if (!first && !isRegistered && seen?.startedAt === left.startedAt) {
				// An earlier start in its place may be a late write, so the process gets time for a heartbeat.
				const isCertain = row === undefined && nowMs >= entry.mayKeepUntilMs && nowMs - entry.copyReturnMs >= reregistrationMs;
				this.occurrences.atOnce += isCertain && !entry.isAvailable ? 1 : 0;
				entry.firstReads.set(left, {atMs: nowMs, isCertain, seenHeartbeat: seen.heartbeat});
			}
		}
	}

	#recordSeen({seen}: Entry): void {
		for (const [id, {startedAt, heartbeat}] of this.fleet.rows) {
			const before = seen.get(id);
			if (!before || isOlder(before, {startedAt, heartbeat})) {
				seen.set(id, {startedAt, heartbeat});
			}
		}
	}

	#gossip(sender: Entry, receiver: Entry): void {
		const {departures} = decodeMessage(encodeMessage({
			from: 'e', configVersion: 1, phase: {phase: 'ready', stoppingMs: 0}, roleChanges: [], load: {running: [], sent: []}, crashes: [], departures: sender.directory.departuresToSend('all'),
		}))!;
		receiver.directory.applyDepartures(departures);
		for (const departure of departures.filter(({kind}) => kind === 'answer')) {
			receiver.saidLeaving.add(keyOf(departure));
		}
	}

	#countChanges(): void {
		for (const change of this.#entries.flatMap(({changes}) => changes.splice(0))) {
			this.occurrences.kept += change.endsWith('unregistered') ? 1 : 0;
			this.occurrences.toldByPeer += change.endsWith('absent (peer)') ? 1 : 0;
		}
	}

	#findForbidden({pool, isUsed, saidLeaving, firstReads, isAvailable, stableSinceMs}: Entry): string | undefined {
		for (const {endpoint} of pool.all()) {
			if (isUsed(endpoint.id) && saidLeaving.has(keyOf(endpoint))) {
				return `${keyOf(endpoint)} is used though it has said that it leaves`;
			}
		}

		for (const [left, {atMs, isCertain}] of firstReads) {
			// While its calls fail, an entry cannot learn whether a registration that may have expired is back, and it is not in touch.
			const ageMs = isAvailable ? this.#clock.nowMs() - Math.max(atMs, stableSinceMs) : 0;
			if (isUsed(left.id) && pool.get(left.id)!.endpoint.startedAt === left.startedAt && (isCertain || ageMs >= drainMs)) {
				return `${keyOf(left)} is used ${ageMs} ms after the read of its removal`;
			}
		}

		return undefined;
	}

	#findUnused({isAvailable, isUsed, stableSinceMs}: Entry): string | undefined {
		const unused = [...this.fleet.processes.values()].find(({id, isLeaving, hasSaidLeaving, liveSinceMs, silentUntilMs}) => {
			const stableMs = this.#clock.nowMs() - Math.max(liveSinceMs, silentUntilMs, this.fleet.stableSinceMs, stableSinceMs);
			return !isLeaving && !hasSaidLeaving && isAvailable && this.fleet.isUp && stableMs >= reregistrationMs + heartbeatMs && !isUsed(id);
		});
		return unused && `${keyOf(unused)} is live and not used`;
	}
}
