/**
 * A world of several entries that compete for the usage duty, over a store that returns from copies. Entries lose their connection,
 * are killed and start again, and requests to store and platform are lost or carried out late. Each sum of a window differs from the
 * last one, so that a window that is summed up again after it was reported shows at once.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {brandAs, firstGeneration, type StoreGeneration} from '@hawthorncleat/core';
import {ReturningStore, type ReturningStoreCopy} from '@hawthorncleat/stand-ins';
import {
	createStoreError, runLease, type Lease, type Table,
} from '@hawthorncleat/store';
import {runUsageDuty, type UsageDutyOptions, type UsageProgress} from '../usage-duty.js';

/** The time of day runs this much faster than the clock of the lease, so that a run of some seconds has many windows. */
const dayTimeRate = 12;
const windowMs = 5000;
const durations = {leaseTtlMs: 500, leaseRenewMs: 80, leaseMarginMs: 150};
const startDayMs = 1_000_000;
const entryNames = ['e1', 'e2', 'e3'];
/** Below what the usage duty allows for, in time of day. */
const clockDifferenceMs = 400;
const overdueWindows = 4;
const copyIntervalMs = 60;
const keptCopies = 20;

/** `starts-anew` reports the overdue windows of each tenure, as if nobody could have reported them. */
export type PlantedFault = 'ignores-generation' | 'none' | 'starts-anew';

/** What one run has shown. */
export type WorldResult = {
	readonly violations: string[];
	readonly reportedWindows: number;
	readonly continuedLeases: number;
	readonly skippedWindows: number;
	readonly returns: number;
};

/** The minimal standard generator of Park and Miller. */
const createRandom = (seed: number) => {
	const multiplier = 48_271;
	const modulus = 2_147_483_647;
	let state = seed * 7919;
	const next = (): number => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};

	return {
		between: (from: number, to: number): number => from + (next() * (to - from)),
		chance: (probability: number): boolean => next() < probability,
	};
};

/** Accepts usage reports as the platform does, and notes what must never happen. */
class UsagePlatform {
	readonly violations: string[] = [];
	readonly #acceptedCounts = new Map<number, string>();
	readonly #processOfToken = new Map<number, string>();
	#highestToken = 0;

	get reportedWindows(): number {
		return this.#acceptedCounts.size;
	}

	accept(process: string, {window, counts, epoch}: {readonly window: number; readonly counts: unknown; readonly epoch: number}): boolean {
		const owner = this.#processOfToken.get(epoch) ?? process;
		this.#processOfToken.set(epoch, owner);
		if (owner !== process) {
			this.violations.push(`token ${epoch} of ${owner} and ${process}`);
		}

		if (epoch < this.#highestToken) {
			return false;
		}

		this.#highestToken = epoch;
		const figures = JSON.stringify(counts);
		const accepted = this.#acceptedCounts.get(window) ?? figures;
		this.#acceptedCounts.set(window, accepted);
		if (accepted !== figures) {
			this.violations.push(`window ${window}: ${accepted} and ${figures} by ${process}`);
		}

		return true;
	}
}

export class UsageReturnsWorld {
	readonly #random: ReturnType<typeof createRandom>;
	readonly #fault: PlantedFault;
	readonly #store = new ReturningStore();
	readonly #platform = new UsagePlatform();
	readonly #startedMs = performance.now();
	#isStoreAway = false;
	#lastId = 0;
	#continuedLeases = 0;
	#skippedWindows = 0;

	constructor(seed: number, fault: PlantedFault) {
		this.#random = createRandom(seed);
		this.#fault = fault;
	}

	async run(durationMs: number): Promise<WorldResult> {
		const controller = new AbortController();
		const {signal} = controller;
		const loops = Promise.all([this.#returnStore(signal), ...entryNames.map(async name => this.#runEntry(name, signal))]);
		await delay(durationMs);
		controller.abort();
		await loops;
		return {
			violations: this.#platform.violations,
			reportedWindows: this.#platform.reportedWindows,
			continuedLeases: this.#continuedLeases,
			skippedWindows: this.#skippedWindows,
			returns: this.#store.generation,
		};
	}

	#makeId(): string {
		this.#lastId += 1;
		return String(this.#lastId);
	}

	async #returnStore(signal: AbortSignal): Promise<void> {
		const copies: ReturningStoreCopy[] = [this.#store.takeCopy()];
		while (!signal.aborted) {
			await delay(copyIntervalMs);
			copies.push(this.#store.takeCopy());
			copies.splice(0, copies.length - keptCopies);
			if (this.#random.chance(0.06)) {
				this.#isStoreAway = true;
				await delay(this.#random.between(0, 400));
				this.#isStoreAway = false;
				this.#store.returnFrom(copies[Math.floor(this.#random.between(0, copies.length))]!);
				copies.splice(0, copies.length, this.#store.takeCopy());
			}
		}
	}

	/** Starts an entry again and again; a killed one does nothing more, and forgets what it knew. */
	async #runEntry(name: string, signal: AbortSignal): Promise<void> {
		for (let start = 1; !signal.aborted; start += 1) {
			const killed = new AbortController();
			const connection = {isConnected: true};
			const ended = AbortSignal.any([signal, killed.signal]);
			const process = this.#runProcess(`${name}/${start}`, connection, ended);
			for (let step = 0; !signal.aborted && !killed.signal.aborted; step += 1) {
				await delay(this.#random.between(50, 700));
				connection.isConnected = this.#random.chance(0.75);
				if (this.#random.chance(0.06)) {
					connection.isConnected = false;
					killed.abort();
				}
			}

			await process;
		}
	}

	async #runProcess(process: string, connection: {readonly isConnected: boolean}, signal: AbortSignal): Promise<void> {
		const progress: UsageProgress = {};
		const dayOffsetMs = this.#random.between(0, clockDifferenceMs);
		const table = this.#connect(connection);
		await runLease({
			duty: 'usage', holder: process, table, clock: {nowMs: () => performance.now()}, makeId: () => this.#makeId(), durations,
			onHeld: async (lease, held) => {
				this.#continuedLeases += lease.continuedEpoch === undefined ? 0 : 1;
				await runUsageDuty(this.#dutyOptions(process, {
					table, connection, progress: this.#plantIn(progress, lease, dayOffsetMs), dayOffsetMs,
				}), lease, held);
			},
		}, signal);
	}

	#plantIn(progress: UsageProgress, {epoch}: Lease, dayOffsetMs: number): UsageProgress {
		return this.#fault === 'starts-anew'
			? {epoch, lastReportedWindow: Math.floor(this.#dayMs(dayOffsetMs) / windowMs) - overdueWindows}
			: progress;
	}

	#dayMs(dayOffsetMs: number): number {
		return startDayMs + dayOffsetMs + ((performance.now() - this.#startedMs) * dayTimeRate);
	}

	#dutyOptions(process: string, {table, connection, progress, dayOffsetMs}: {
		readonly table: Table; readonly connection: {readonly isConnected: boolean}; readonly progress: UsageProgress; readonly dayOffsetMs: number;
	}): UsageDutyOptions {
		return {
			rows: {
				read: async () => ({
					rows: [], version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: firstGeneration,
				}),
				watch: async () => undefined,
				write: async () => undefined,
			},
			table,
			calls: {
				reportUsage: async report => {
					await delay(this.#random.between(1, 20));
					return this.#callPlatform(connection, () => this.#platform.accept(process, report));
				},
			},
			holder: process,
			makeId: () => this.#makeId(),
			windowMs,
			nowMs: () => this.#dayMs(dayOffsetMs),
			countsByProcess: () => new Map([[process, {acme: Number(this.#makeId())}]]),
			onReport() {/* The platform checks the reports. */},
			onSkip: ({windows}) => {
				this.#skippedWindows += windows.length;
			},
			onError() {/* Lost answers are expected. */},
			progress,
		};
	}

	/** A call may be lost, may be carried out without an answer, or may be carried out late. */
	async #callPlatform<Result>({isConnected}: {readonly isConnected: boolean}, carryOut: () => Result): Promise<Result> {
		if (!isConnected) {
			throw createStoreError('disconnected', 'unknown');
		}

		if (this.#random.chance(0.08)) {
			void this.#carryOutLate(carryOut);
			throw createStoreError('no answer', 'unknown');
		}

		const result = carryOut();
		if (this.#random.chance(0.08)) {
			throw createStoreError('the answer was lost', 'unknown');
		}

		return result;
	}

	async #carryOutLate(carryOut: () => unknown): Promise<void> {
		await delay(this.#random.between(10, 600));
		carryOut();
	}

	/** A client of the store. It knows the generation of the answers that it has received. */
	#connect(connection: {readonly isConnected: boolean}): Table {
		let seenGeneration = this.#store.generation;
		const call = async <Result>(carryOut: () => Result): Promise<Result> => {
			await delay(this.#random.between(1, 12));
			if (this.#isStoreAway) {
				throw createStoreError('the store is away', 'unknown');
			}

			const {result, generation} = await this.#callPlatform(connection, () => ({result: carryOut(), generation: this.#store.generation}));
			await delay(this.#random.between(1, 12));
			seenGeneration = Math.max(seenGeneration, generation);
			return result;
		};

		return {
			...this.#fault !== 'ignores-generation' && {generation: () => brandAs<StoreGeneration>(seenGeneration)},
			read: async key => call(() => this.#store.read(key)),
			scan: async () => [],
			transact: async transaction => call(() => this.#store.transact(transaction)),
		};
	}
}
