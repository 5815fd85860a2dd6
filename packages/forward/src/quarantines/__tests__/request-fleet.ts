/**
 * A simulated fleet for the quarantine of requests: entries with a memory of their own that exchange news over lossy, delayed messages, a store with rows, callers
 * that send a deadly request again and again at any entry, and entries that are restarted, paused or cut off meanwhile.
 */
import {Buffer} from 'node:buffer';
import {
	brandAs, type Random, type RequestId, type StoreGeneration,
} from '@hawthorncleat/core';
import {createManualClock} from '@hawthorncleat/test-kit';
import {CrashGuard} from '../crash-guard.js';
import {decodeRows, encodeRequestRow, requestRowKey} from '../quarantine-row-format.js';
import type {RequestChange} from '../request-quarantines.js';

export type Disruption = {
	readonly atMs: number;
	readonly kind: 'cut' | 'pause' | 'restart';
	/** Entries that it concerns. */
	readonly entries: readonly number[];
	/** How long it lasts; a restarted entry is back after this time. */
	readonly forMs: number;
};

export type FleetOptions = {
	readonly random: Random;
	readonly entries: number;
	readonly requestsPerSecond: number;
	readonly endMs: number;
	readonly disruptions: readonly Disruption[];
	/** Until then the request crashes endpoints; it completes later. */
	readonly deadlyUntilMs?: number;
	/** Whether entries tell each other of quarantines. */
	readonly areNewsSent?: boolean;
	/** Whether the store keeps quarantines. */
	readonly areRowsKept?: boolean;
};

export type FleetResult = {
	/** Times of the crashes. */
	readonly crashesMs: readonly number[];
	/** Runs that entries in touch have let through later than the users' rule allows without counting them. */
	readonly countedRetries: number;
	/** Requests that were answered. */
	readonly completed: number;
	readonly storeWrites: number;
};

const stepMs = 10;
/** Time from the arrival of a deadly request at an endpoint until its entry has found the port closed. */
const detectionMs = 20;
/** An entry is in touch if it was left alone for this time. */
const contactMs = 3000;
const gossipDelayMs = 5;
const lostDatagrams = 0.05;
const intervalPerPeerMs = 8;
const minIntervalMs = 60;
/** Crashes before the rule counts. */
const crashesBefore = 3;

type Content = Parameters<CrashGuard['recordStart']>[0];

let lastId = 0;

const createContent = (): Content => {
	lastId += 1;
	return {
		request: {
			id: brandAs<RequestId>(`r${lastId}`),
			method: 'POST',
			target: '/look/x',
			hostname: 'h.example',
			hasTokenCount: false,
			promptTokens: 0,
			guessedTokens: 0,
			maxOutputTokens: 0,
			segments: [],
			headers: {},
		},
		account: undefined,
		service: {name: 'desk', maxConnections: 100},
		body: Buffer.from('deadly'),
	};
};

type Entry = {guard: CrashGuard; downUntilMs: number; pausedUntilMs: number; cutUntilMs: number; disturbedMs: number};

export class RequestFleet {
	readonly #options: FleetOptions;
	readonly #clock = createManualClock(1000);
	readonly #entries: Entry[];
	readonly #rows = new Map<string, string>();
	#pending: Array<{readonly atMs: number; readonly run: () => void}> = [];
	readonly #crashesMs: number[] = [];
	readonly #runs: Array<{readonly atMs: number; readonly wasInTouch: boolean}> = [];
	#completed = 0;
	#storeWrites = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#entries = Array.from({length: options.entries}, (_, index) => ({
			guard: this.#createGuard(index), downUntilMs: 0, pausedUntilMs: 0, cutUntilMs: 0, disturbedMs: Number.NEGATIVE_INFINITY,
		}));
	}

	play(): FleetResult {
		const {endMs, entries, disruptions, requestsPerSecond, random} = this.#options;
		const gossipMs = Math.max(minIntervalMs, (entries - 1) * intervalPerPeerMs);
		const startMs = this.#clock.nowMs();
		while (this.#clock.nowMs() < startMs + endMs) {
			const elapsedMs = this.#clock.nowMs() - startMs;
			for (const disruption of disruptions.filter(({atMs}) => atMs === elapsedMs)) {
				this.#disrupt(disruption);
			}

			this.#runPending();
			if (random() < requestsPerSecond * stepMs / 1000) {
				this.#send(Math.floor(random() * entries));
			}

			for (const [index] of this.#entries.entries()) {
				// Entries do not send at the same moments.
				if ((elapsedMs + (index * stepMs)) % (Math.ceil(gossipMs / stepMs) * stepMs) === 0) {
					this.#tell(index);
				}
			}

			this.#clock.advance(stepMs);
		}

		const countedFromMs = (this.#crashesMs[crashesBefore - 1] ?? Number.POSITIVE_INFINITY) + contactMs;
		return {
			crashesMs: this.#crashesMs,
			countedRetries: this.#runs.filter(({atMs, wasInTouch}) => wasInTouch && atMs > countedFromMs).length,
			completed: this.#completed,
			storeWrites: this.#storeWrites,
		};
	}

	#createGuard(index: number): CrashGuard {
		return new CrashGuard({
			clock: this.#clock,
			position: () => ({index, count: this.#options.entries}),
			refusesConnections: async () => true,
			onCrash: () => undefined,
			onQuarantine: () => undefined,
			onAdoption: () => undefined,
			onTrial: () => undefined,
			onQuarantineEnd: () => undefined,
			onRequestChange: change => {
				this.#keep(change);
			},
		});
	}

	#keep({kind, fingerprint, quarantine}: RequestChange): void {
		if (kind === 'begun' && quarantine && this.#options.areRowsKept !== false) {
			this.#storeWrites += 1;
			const {key, value} = encodeRequestRow(quarantine, 0);
			this.#rows.set(key, value);
		} else if (kind === 'ended') {
			this.#rows.delete(requestRowKey(fingerprint));
		}
	}

	#disrupt({kind, entries, forMs}: Disruption): void {
		const endMs = this.#clock.nowMs() + forMs;
		for (const index of entries) {
			const entry = this.#entries[index]!;
			entry.disturbedMs = endMs;
			if (kind === 'cut') {
				entry.cutUntilMs = endMs;
			} else if (kind === 'pause') {
				entry.pausedUntilMs = endMs;
			} else {
				entry.downUntilMs = endMs;
				this.#later(forMs, () => {
					this.#restart(index);
				});
			}
		}
	}

	#restart(index: number): void {
		const entry = this.#entries[index]!;
		entry.guard = this.#createGuard(index);
		entry.guard.restoreQuarantines(decodeRows({
			rows: [...this.#rows].map(([key, value]) => ({key, value, version: 1})), version: 1, storeNowMs: this.#clock.nowMs(), bytes: 0, transferMs: 0, generation: brandAs<StoreGeneration>(0),
		}));
	}

	#isAway({downUntilMs, pausedUntilMs}: Entry): boolean {
		return this.#clock.nowMs() < Math.max(downUntilMs, pausedUntilMs);
	}

	#send(index: number): void {
		const entry = this.#entries[index]!;
		const {guard} = entry;
		const content = createContent();
		const nowMs = this.#clock.nowMs();
		if (this.#isAway(entry)) {
			return;
		}

		guard.recordArrival(content);
		if (guard.quarantineRemainingMs(content) !== undefined) {
			return;
		}

		guard.recordStart(content);
		this.#runs.push({atMs: nowMs, wasInTouch: nowMs - entry.disturbedMs >= contactMs});
		this.#later(detectionMs, () => {
			this.#finish(guard, content, nowMs);
		});
	}

	#finish(guard: CrashGuard, content: Content, startedMs: number): void {
		const {deadlyUntilMs = Number.POSITIVE_INFINITY} = this.#options;
		if (this.#clock.nowMs() >= deadlyUntilMs) {
			this.#completed += 1;
			guard.recordCompletedRequest(content);
			return;
		}

		this.#crashesMs.push(this.#clock.nowMs());
		const endpoint = `i-${this.#crashesMs.length}`;
		guard.recordBrokenRequest(endpoint, content, {startedMs, hasJustBegun: false});
		guard.recordCrash(endpoint);
	}

	/** Sends a message of an entry to the others. */
	#tell(index: number): void {
		const sender = this.#entries[index]!;
		if (this.#isAway(sender) || this.#clock.nowMs() < sender.cutUntilMs) {
			return;
		}

		const reports = sender.guard.reportsToSend();
		const news = sender.guard.requestNewsToSend('all');
		for (const [other] of this.#entries.entries()) {
			if (other !== index && this.#options.random() >= lostDatagrams) {
				this.#later(gossipDelayMs, () => {
					const receiver = this.#entries[other]!;
					if (this.#isAway(receiver) || this.#clock.nowMs() < receiver.cutUntilMs) {
						return;
					}

					receiver.guard.applyPeerReports(reports);
					if (this.#options.areNewsSent !== false) {
						receiver.guard.applyPeerRequestNews(news);
					}
				});
			}
		}
	}

	#later(afterMs: number, run: () => void): void {
		this.#pending.push({atMs: this.#clock.nowMs() + afterMs, run});
	}

	#runPending(): void {
		const nowMs = this.#clock.nowMs();
		const due = this.#pending.filter(({atMs}) => atMs <= nowMs);
		this.#pending = this.#pending.filter(({atMs}) => atMs > nowMs);
		for (const {run} of due) {
			run();
		}
	}
}
