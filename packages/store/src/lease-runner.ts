/**
 * Acquires the lease of one duty and runs the duty while the lease is held. Losing the lease aborts the duty; the runner
 * then waits until it can acquire the lease again.
 */
import {
	defaultLeaseDurations, firstEpochOf, firstGeneration, generationOfEpoch, leaseEpochKey, LeaseHolder, leaseKey, LeaseTaker, nextEpoch, parseLeaseRow,
	type Clock, type LeaseDurations, type LeaseEpoch, type LeaseRow, type MakeId, type StoreGeneration,
} from '@hawthorncleat/core';
import type {TablePut, TableRow} from '@hawthorncleat/schema';
import {GenerationWatch} from './generation-watch.js';
import {
	createLease, requestAttestations, sleep, Tenure, type Lease, type DutyWitnessClient,
} from './lease-tenure.js';
import {isStoreError, type Table} from './store.js';
import {transactWithReadBack, type WriteResult} from './transact-with-read-back.js';

// Short, because a lease with the default durations outlasts only two failed renewals.
const renewRetryPauseMs = 500;

export type LeaseRunnerOptions = {
	readonly duty: string;
	readonly holder: string;
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** Runs the duty until `signal` aborts. The lease is released when the returned promise settles. */
	readonly onHeld: (lease: Lease, signal: AbortSignal) => Promise<void>;
	/** Receives the error of a failed duty; without it `runLease` rejects. */
	readonly onError?: (error: unknown) => void;
	readonly durations?: LeaseDurations;
	/** Pause between two reads of a lease that another process holds, in ms. By default that between two renewals. */
	readonly watchPauseMs?: () => number;
	/** Without it the duty stops when its lease expires, also during a table outage. */
	readonly witnesses?: DutyWitnessClient;
};

type LeaseWrite = {readonly writeId: string; readonly sentMs: number};

const ignoreStoreError = (error: unknown): undefined => {
	if (!isStoreError(error)) {
		throw error;
	}

	return undefined;
};

class LeaseRunner {
	readonly #options: LeaseRunnerOptions;
	readonly #durations: LeaseDurations;
	readonly #signal: AbortSignal;
	readonly #generations: GenerationWatch;
	#lastWrite: LeaseWrite | undefined;
	/** The last tenure of this process, unless it has released the lease. */
	#lastTenure: Tenure | undefined;

	constructor(options: LeaseRunnerOptions, signal: AbortSignal) {
		this.#options = options;
		this.#durations = options.durations ?? defaultLeaseDurations;
		this.#signal = signal;
		this.#generations = new GenerationWatch(options.table, options.clock);
	}

	async run(): Promise<void> {
		const watching = new AbortController();
		const watch = this.#generations.run(AbortSignal.any([this.#signal, watching.signal]));
		try {
			await this.#runTenures();
		} finally {
			watching.abort();
			await watch;
		}
	}

	async #runTenures(): Promise<void> {
		while (!this.#signal.aborted) {
			const tenure = await this.#acquire();
			const {changed, current} = this.#generations;
			if (tenure?.generation === current) {
				await this.#runDuty(tenure, changed);
				await sleep(this.#durations.leaseRenewMs, changed);
			}
		}
	}

	#keyIn(generation: StoreGeneration): string {
		return leaseKey(this.#options.duty, generation);
	}

	/** Tries to acquire the lease until it succeeds or the runner is aborted. */
	async #acquire(): Promise<Tenure | undefined> {
		const taker = new LeaseTaker(this.#durations);
		while (!this.#signal.aborted) {
			const {changed} = this.#generations;
			const tenure = await this.#tryAcquire(taker).catch(ignoreStoreError);
			if (tenure) {
				return tenure;
			}

			await sleep(this.#options.watchPauseMs?.() ?? this.#durations.leaseRenewMs, changed);
		}

		return undefined;
	}

	async #tryAcquire(taker: LeaseTaker): Promise<Tenure | undefined> {
		const generation = this.#generations.current;
		const row = await this.#options.table.read(this.#keyIn(generation));
		if (this.#generations.current !== generation) {
			return undefined;
		}

		const value = parseLeaseRow(row?.value);
		if (row && value && value.writeId === this.#lastWrite?.writeId) {
			const tenure = await this.#confirmTenure(row.version, value, this.#lastWrite.sentMs);
			// If the own takeover expired before it was confirmed, the runner waits for its expiry like any other process.
			if (tenure) {
				return tenure;
			}
		}

		const observation = {version: row?.version ?? null, released: value?.holder === '', generation};
		const mayTake = taker.observe(observation, this.#options.clock.nowMs()) || (row === undefined && this.#findContinued(generation) !== undefined);
		return mayTake && !this.#signal.aborted ? this.#writeTakeover(generation, row, value) : undefined;
	}

	/**
	 * Rule `takeover` of models/lease.pml: one transaction checks the lease row and writes both rows. Rule `write` of
	 * models/duty-outage.pml: it checks the version that was read before the announcement, so that a holder that has renewed
	 * the lease since then keeps it.
	 */
	async #writeTakeover(generation: StoreGeneration, row: TableRow | undefined, previous: LeaseRow | undefined): Promise<Tenure | undefined> {
		const epoch = nextEpoch(previous?.epoch, generation);
		if (!await this.#mayWriteTakeover(epoch, row, previous)) {
			return undefined;
		}

		const value = this.#createRow(epoch, previous?.state ?? null);
		const epochRow = {key: leaseEpochKey(this.#options.duty, generation), value: {epoch}};
		const result = await this.#write(row?.version ?? null, value, [epochRow]);
		return result.kind === 'written' ? this.#confirmTenure(result.version, value, this.#lastWrite!.sentMs) : undefined;
	}

	/** A lease that was never held or was released needs no announcement, because witnesses can't attest a holder of it. */
	async #mayWriteTakeover(epoch: LeaseEpoch, row: TableRow | undefined, previous: LeaseRow | undefined): Promise<boolean> {
		const {witnesses} = this.#options;
		const wasNeverHeld = row === undefined && generationOfEpoch(epoch) === firstGeneration;
		const isFree = wasNeverHeld || previous?.holder === '';
		return witnesses === undefined || isFree || (await witnesses.announce(epoch, this.#signal) && !this.#signal.aborted);
	}

	/**
	 * Rule `own-epoch` of models/lease.pml: the epoch row is read after the takeover and must contain this tenure's epoch. A
	 * takeover that the table carried out in a newer generation is void.
	 */
	async #confirmTenure(version: number, value: LeaseRow, sentMs: number): Promise<Tenure | undefined> {
		const holder = new LeaseHolder(this.#durations, sentMs);
		const {epoch, state} = value;
		const generation = generationOfEpoch(epoch);
		const epochRow = await this.#options.table.read(leaseEpochKey(this.#options.duty, generation));
		// Another process may have taken the lease between the write and this read.
		const isOwn = (epochRow?.value as {epoch?: number} | undefined)?.epoch === epoch && this.#generations.current === generation;
		const isFirst = epoch === firstEpochOf(generation);
		return epochRow && isOwn && holder.isHeld(this.#options.clock.nowMs())
			? new Tenure({
				holder, epoch, epochRowVersion: epochRow.version, leaseRowVersion: version, state, continuedEpoch: isFirst ? this.#findContinued(generation)?.epoch : undefined,
			})
			: undefined;
	}

	/**
	 * Rule `continue` of models/usage-return.pml: the tenure of this process that a first takeover in the generation continues. Before the time until which that tenure was
	 * exclusive, nobody else has taken the lease in an older generation. If the table had returned by then, nobody has done so at all,
	 * and the process need not wait for the expiry of its own lease.
	 */
	#findContinued(generation: StoreGeneration): Tenure | undefined {
		const last = this.#lastTenure;
		return last && last.generation < generation && this.#generations.firstSeenMs < last.holder.exclusiveUntilMs ? last : undefined;
	}

	#createRow(epoch: LeaseEpoch, state: unknown, holder = this.#options.holder): LeaseRow {
		return {
			holder, epoch, writeId: this.#options.makeId(), state,
		};
	}

	async #write(version: number | null, value: LeaseRow, furtherPuts: readonly TablePut[] = []): Promise<WriteResult> {
		const {writeId} = value;
		const key = this.#keyIn(generationOfEpoch(value.epoch));
		this.#lastWrite = {writeId, sentMs: this.#options.clock.nowMs()};
		const transaction = {
			writeId,
			checks: [{key, version}],
			puts: [{key, value}, ...furtherPuts],
			deletes: [],
		};
		return transactWithReadBack(this.#options.table, transaction, {
			key, isOwnWrite: other => parseLeaseRow(other)?.writeId === writeId,
		});
	}

	/** `changed` aborts when the table has returned from a copy, which may have undone the takeover. */
	async #runDuty(tenure: Tenure, changed: AbortSignal): Promise<void> {
		const controller = new AbortController();
		const signal = AbortSignal.any([this.#signal, controller.signal, changed]);
		const stop = (): void => {
			controller.abort();
		};

		const {duty, clock, witnesses} = this.#options;
		const backgroundLoops = Promise.all([
			this.#keepRenewing(tenure, signal).finally(stop),
			this.#watchExpiry(tenure, signal).finally(stop),
			witnesses && requestAttestations(tenure, witnesses, {clock, leaseRenewMs: this.#durations.leaseRenewMs}, signal).finally(stop),
		]);
		// The loops are awaited when the duty has stopped; until then a rejection must not count as unhandled.
		backgroundLoops.catch(() => undefined);
		try {
			await this.#options.onHeld(createLease(tenure, duty, clock), signal);
		} catch (error) {
			this.#reportDutyError(error, signal);
		} finally {
			stop();
			tenure.hasDutyStopped = true;
			await backgroundLoops;
			await this.#release(tenure);
		}
	}

	#reportDutyError(error: unknown, signal: AbortSignal): void {
		// An aborted duty usually rejects with the abort error.
		if (signal.aborted) {
			return;
		}

		if (!this.#options.onError) {
			throw error;
		}

		this.#options.onError(error);
	}

	/** Resolves when the authority ends, also while a renewal waits for its response. */
	async #watchExpiry(tenure: Tenure, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && clock.nowMs() < tenure.authorityEndsAtMs) {
			// Waits in short intervals, so that a paused process detects the expiry soon after it resumes.
			const remainingMs = tenure.authorityEndsAtMs - clock.nowMs();
			await sleep(Math.min(remainingMs, this.#durations.leaseMarginMs), signal);
		}
	}

	async #keepRenewing(tenure: Tenure, signal: AbortSignal): Promise<void> {
		let waitMs = tenure.holder.renewAtMs - this.#options.clock.nowMs();
		while (!signal.aborted) {
			await sleep(waitMs, signal);
			if (signal.aborted) {
				return;
			}

			if (!tenure.holder.isHeld(this.#options.clock.nowMs())) {
				return this.#awaitTableRecovery(tenure, signal);
			}

			const outcome = await this.#renew(tenure);
			if (outcome === 'lost') {
				return;
			}

			waitMs = outcome === 'renewed'
				? tenure.holder.renewAtMs - this.#options.clock.nowMs()
				: Math.min(renewRetryPauseMs, this.#durations.leaseRenewMs / 2);
		}
	}

	/** An expired lease is not renewed. A duty with outage authority continues until the table can be read again. */
	async #awaitTableRecovery(tenure: Tenure, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && tenure.authority(this.#options.clock.nowMs()) === 'outage') {
			tenure.hasTableRecovered = await this.#canReadTable(tenure);
			if (tenure.hasTableRecovered) {
				return;
			}

			await sleep(renewRetryPauseMs, signal);
		}
	}

	async #canReadTable(tenure: Tenure): Promise<boolean> {
		const outcome = await this.#adoptVersion(tenure);
		return outcome !== 'unread';
	}

	/** Rule `renewal` of models/lease.pml: checks the lease row and leaves the epoch row unchanged. */
	async #renew(tenure: Tenure): Promise<'renewed' | 'retry' | 'lost'> {
		const result = await this.#write(tenure.leaseRowVersion, this.#createRow(tenure.epoch, tenure.state));
		if (this.#generations.current !== tenure.generation) {
			return 'lost';
		}

		if (result.kind === 'written') {
			tenure.leaseRowVersion = result.version;
			tenure.holder.recordRenewal(this.#lastWrite!.sentMs, this.#options.clock.nowMs());
			return 'renewed';
		}

		if (result.kind !== 'refused') {
			return 'retry';
		}

		return await this.#adoptVersion(tenure) === 'lost' ? 'lost' : 'retry';
	}

	/**
	 * Rule `adopt` of models/lease.pml: reads the version of the lease row again, because a renewal whose response was lost
	 * may have changed it. Only this process writes rows with its epoch.
	 */
	async #adoptVersion(tenure: Tenure): Promise<'adopted' | 'unread' | 'lost'> {
		try {
			const row = await this.#options.table.read(this.#keyIn(tenure.generation));
			const value = parseLeaseRow(row?.value);
			if (!row || value?.epoch !== tenure.epoch || value.holder !== this.#options.holder) {
				return 'lost';
			}

			tenure.leaseRowVersion = row.version;
			return 'adopted';
		} catch {
			return 'unread';
		}
	}

	/**
	 * Rule `give-back` of models/lease.pml: releases the lease once the duty has stopped, so that others can take it at once.
	 * If the write fails, they wait for its expiry. The row of an older generation is left as it is, because nobody reads it.
	 */
	async #release(tenure: Tenure): Promise<void> {
		const isRowCurrent = this.#generations.current === tenure.generation;
		this.#lastTenure = tenure;
		if (isRowCurrent && (tenure.hasTableRecovered || tenure.holder.isHeld(this.#options.clock.nowMs()))) {
			this.#lastTenure = undefined;
			await this.#write(tenure.leaseRowVersion, this.#createRow(tenure.epoch, tenure.state, '')).catch(() => undefined);
		}

		this.#lastWrite = undefined;
	}
}

/** Acquires the lease of a duty whenever it is free and runs the duty while the lease is held, until `signal` aborts. */
export const runLease = async (options: LeaseRunnerOptions, signal: AbortSignal): Promise<void> => {
	await new LeaseRunner(options, signal).run();
};
