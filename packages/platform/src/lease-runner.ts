/**
 * Runs one duty while its lease is held. Losing the lease aborts the duty; the runner then waits for its next turn.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	brandAs, LeaseHolder, leaseDefaults, leaseEpochKey, leaseKey, LeaseTaker, readLeaseRow, type Clock, type LeaseDurations, type LeaseEpoch, type LeaseRow, type MakeId,
} from '@hawthorncleat/core';
import type {TableCheck, TablePut, TableRow} from '@hawthorncleat/schema';
import {isStoreError, type Table} from './store.js';
import {transactOnce, type OnceResult} from './transact-once.js';

// A renewal that failed is tried again soon, since the lease lasts for only two more renewals.
const renewRetryMs = 500;

/** What the authority of a duty rests on. */
export type Authority = 'table' | 'outage' | 'none';

/** A held lease, as the duty sees it. */
export type Lease = {
	readonly duty: string;
	/** The fencing token; rises with each takeover. */
	readonly epoch: LeaseEpoch;
	/** State that the lease row had at the takeover or that was set since. */
	readonly state: unknown;
	/** The check that makes a transaction fail once another process has taken the lease. */
	check(): TableCheck;
	/** Whether this process is in charge by its own clock, on the evidence of the table. */
	isHeld(): boolean;
	/** What the authority rests on: the lease, or evidence that nobody else can take it during a table outage. */
	authority(): Authority;
	/** Time for which the authority lasts by the own clock, after the margin; 0 without authority. */
	authorityMs(): number;
	/** Sets the state that the next renewal writes to the row. */
	setState(state: unknown): void;
};

export type LeaseRunnerOptions = {
	readonly duty: string;
	readonly holder: string;
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** Runs the duty until `signal` aborts. The lease is given back if it settles earlier. */
	readonly onHeld: (lease: Lease, signal: AbortSignal) => Promise<void>;
	/** Receives the error of a failed duty; without it `runLease` rejects. */
	readonly onError?: (error: unknown) => void;
	readonly durations?: LeaseDurations;
};

type Tenure = {
	readonly holder: LeaseHolder;
	readonly epoch: LeaseEpoch;
	/** Version of the epoch row. */
	readonly epochVersion: number;
	version: number;
	state: unknown;
};

type Attempt = {readonly writeId: string; readonly sentMs: number};

const sleep = async (durationMs: number, signal: AbortSignal): Promise<void> => {
	await delay(Math.max(0, durationMs), undefined, {signal}).catch(() => undefined);
};

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
	#lastAttempt: Attempt | undefined;

	constructor(options: LeaseRunnerOptions, signal: AbortSignal) {
		this.#options = options;
		this.#durations = options.durations ?? leaseDefaults;
		this.#signal = signal;
	}

	async run(): Promise<void> {
		while (!this.#signal.aborted) {
			const tenure = await this.#take();
			if (tenure) {
				await this.#hold(tenure);
				await sleep(this.#durations.leaseRenewMs, this.#signal);
			}
		}
	}

	get #key(): string {
		return leaseKey(this.#options.duty);
	}

	/** Watches the lease until it is taken or the runner ends. */
	async #take(): Promise<Tenure | undefined> {
		const taker = new LeaseTaker(this.#durations);
		while (!this.#signal.aborted) {
			const tenure = await this.#tryTake(taker).catch(ignoreStoreError);
			if (tenure) {
				return tenure;
			}

			await sleep(this.#durations.leaseRenewMs, this.#signal);
		}

		return undefined;
	}

	async #tryTake(taker: LeaseTaker): Promise<Tenure | undefined> {
		const row = await this.#options.table.read(this.#key);
		const value = readLeaseRow(row?.value);
		if (row && value && value.writeId === this.#lastAttempt?.writeId) {
			const tenure = await this.#createTenure(row.version, value, this.#lastAttempt.sentMs);
			// A takeover that has lapsed before its answer was known is waited for like any other.
			if (tenure) {
				return tenure;
			}
		}

		const observation = {version: row?.version ?? null, released: value?.holder === ''};
		const mayTake = taker.observe(observation, this.#options.clock.nowMs());
		return mayTake && !this.#signal.aborted ? this.#writeTakeover(row, value) : undefined;
	}

	/** Rule `takeover` of models/lease.pml: one transaction checks the lease row and writes both rows. */
	async #writeTakeover(row: TableRow | undefined, previous: LeaseRow | undefined): Promise<Tenure | undefined> {
		const epoch = brandAs<LeaseEpoch>((previous?.epoch ?? 0) + 1);
		const value = this.#createRow(epoch, previous?.state ?? null);
		const epochRow = {key: leaseEpochKey(this.#options.duty), value: {epoch}};
		const result = await this.#write(row?.version ?? null, value, [epochRow]);
		return result.kind === 'written' ? this.#createTenure(result.version, value, this.#lastAttempt!.sentMs) : undefined;
	}

	/** Rule `own-epoch` of models/lease.pml: the epoch row is read after the takeover and must show the own epoch. */
	async #createTenure(version: number, value: LeaseRow, sentMs: number): Promise<Tenure | undefined> {
		const holder = new LeaseHolder(this.#durations, sentMs);
		const epochRow = await this.#options.table.read(leaseEpochKey(this.#options.duty));
		const {epoch, state} = value;
		// Another process may have taken the lease between the write and this read.
		const isOwn = (epochRow?.value as {epoch?: number} | undefined)?.epoch === epoch;
		return epochRow && isOwn && holder.isHeld(this.#options.clock.nowMs())
			? {
				holder, epoch, epochVersion: epochRow.version, version, state,
			}
			: undefined;
	}

	#createRow(epoch: LeaseEpoch, state: unknown, holder = this.#options.holder): LeaseRow {
		return {
			holder, epoch, writeId: this.#options.makeId(), state,
		};
	}

	async #write(version: number | null, value: LeaseRow, furtherPuts: readonly TablePut[] = []): Promise<OnceResult> {
		const {writeId} = value;
		this.#lastAttempt = {writeId, sentMs: this.#options.clock.nowMs()};
		const transaction = {
			writeId,
			checks: [{key: this.#key, version}],
			puts: [{key: this.#key, value}, ...furtherPuts],
			deletes: [],
		};
		return transactOnce(this.#options.table, transaction, {
			key: this.#key, isOurs: other => readLeaseRow(other)?.writeId === writeId,
		});
	}

	async #hold(tenure: Tenure): Promise<void> {
		const controller = new AbortController();
		const signal = AbortSignal.any([this.#signal, controller.signal]);
		const stop = (): void => {
			controller.abort();
		};

		const upkeep = Promise.all([
			this.#keepRenewing(tenure, signal).finally(stop),
			this.#watchExpiry(tenure, signal).finally(stop),
		]);
		// Awaited below, when the duty has stopped; until then a rejection must not count as unhandled.
		upkeep.catch(() => undefined);
		try {
			await this.#options.onHeld(this.#createLease(tenure), signal);
		} catch (error) {
			this.#fail(error, signal);
		} finally {
			stop();
			await upkeep;
			await this.#giveBack(tenure);
		}
	}

	#fail(error: unknown, signal: AbortSignal): void {
		// A duty that was aborted usually rejects with the abort itself.
		if (signal.aborted) {
			return;
		}

		if (!this.#options.onError) {
			throw error;
		}

		this.#options.onError(error);
	}

	#createLease(tenure: Tenure): Lease {
		const {duty, clock} = this.#options;
		return {
			duty,
			epoch: tenure.epoch,
			check: () => ({key: leaseEpochKey(duty), version: tenure.epochVersion}),
			isHeld: () => tenure.holder.isHeld(clock.nowMs()),
			authority: () => tenure.holder.isHeld(clock.nowMs()) ? 'table' : 'none',
			authorityMs: () => Math.max(0, tenure.holder.stopAtMs - clock.nowMs()),
			get state() {
				return tenure.state;
			},
			setState(state) {
				tenure.state = state;
			},
		};
	}

	/** Ends at expiry, also while a renewal waits for its answer. */
	async #watchExpiry(tenure: Tenure, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && tenure.holder.isHeld(clock.nowMs())) {
			// Short steps, because a paused process must notice soon after it resumes.
			const remainingMs = tenure.holder.stopAtMs - clock.nowMs();
			await sleep(Math.min(remainingMs, this.#durations.leaseMarginMs), signal);
		}
	}

	async #keepRenewing(tenure: Tenure, signal: AbortSignal): Promise<void> {
		let waitMs = tenure.holder.renewAtMs - this.#options.clock.nowMs();
		while (!signal.aborted) {
			await sleep(waitMs, signal);
			if (signal.aborted || !tenure.holder.isHeld(this.#options.clock.nowMs())) {
				return;
			}

			const renewed = await this.#renew(tenure);
			if (renewed === 'lost') {
				return;
			}

			waitMs = renewed === 'renewed'
				? tenure.holder.renewAtMs - this.#options.clock.nowMs()
				: Math.min(renewRetryMs, this.#durations.leaseRenewMs / 2);
		}
	}

	/** Rule `renewal` of models/lease.pml: checks the lease row and leaves the epoch row alone. */
	async #renew(tenure: Tenure): Promise<'renewed' | 'retry' | 'lost'> {
		const result = await this.#write(tenure.version, this.#createRow(tenure.epoch, tenure.state));
		if (result.kind === 'written') {
			tenure.version = result.version;
			tenure.holder.renewed(this.#lastAttempt!.sentMs, this.#options.clock.nowMs());
			return 'renewed';
		}

		return result.kind === 'refused' ? this.#adoptVersion(tenure) : 'retry';
	}

	/**
	 * Rule `adopt` of models/lease.pml: an earlier renewal with a lost answer may have changed the version; only this
	 * process writes its epoch.
	 */
	async #adoptVersion(tenure: Tenure): Promise<'retry' | 'lost'> {
		try {
			const row = await this.#options.table.read(this.#key);
			const value = readLeaseRow(row?.value);
			if (!row || value?.epoch !== tenure.epoch || value.holder !== this.#options.holder) {
				return 'lost';
			}

			tenure.version = row.version;
			return 'retry';
		} catch {
			return 'retry';
		}
	}

	/**
	 * Rule `give-back` of models/lease.pml: once the duty has stopped, lets others take the lease at once. If this fails,
	 * they wait for its expiry.
	 */
	async #giveBack(tenure: Tenure): Promise<void> {
		if (tenure.holder.isHeld(this.#options.clock.nowMs())) {
			await this.#write(tenure.version, this.#createRow(tenure.epoch, tenure.state, '')).catch(() => undefined);
		}

		this.#lastAttempt = undefined;
	}
}

/** Takes the lease of a duty whenever it is free and runs the duty while it is held, until `signal` aborts. */
export const runLease = async (options: LeaseRunnerOptions, signal: AbortSignal): Promise<void> => {
	await new LeaseRunner(options, signal).run();
};
