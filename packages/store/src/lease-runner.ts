/**
 * Runs one duty while its lease is held. Losing the lease aborts the duty; the runner then waits for its next turn.
 */
import {
	brandAs, LeaseHolder, leaseDefaults, leaseEpochKey, leaseKey, LeaseTaker, readLeaseRow, type Clock, type LeaseDurations, type LeaseEpoch, type LeaseRow, type MakeId,
} from '@hawthorncleat/core';
import type {TablePut, TableRow} from '@hawthorncleat/schema';
import {
	createLease, requestAttestations, sleep, Tenure, type Lease, type DutyWitnessClient,
} from './lease-tenure.js';
import {isStoreError, type Table} from './store.js';
import {transactWithReadBack, type WriteResult} from './transact-with-read-back.js';

// A renewal that failed is tried again soon, since the lease lasts for only two more renewals.
const renewRetryMs = 500;

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
	/** Without it the duty stops when its lease lapses, also during a table outage. */
	readonly witnesses?: DutyWitnessClient;
};

type Attempt = {readonly writeId: string; readonly sentMs: number};

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

	/**
	 * Rule `takeover` of models/lease.pml: one transaction checks the lease row and writes both rows. Rule `write` of
	 * models/duty-outage.pml: it checks the version that was seen before the announcement, so that a holder that has renewed
	 * meanwhile keeps the lease.
	 */
	async #writeTakeover(row: TableRow | undefined, previous: LeaseRow | undefined): Promise<Tenure | undefined> {
		const epoch = brandAs<LeaseEpoch>((previous?.epoch ?? 0) + 1);
		if (!await this.#mayWrite(epoch, row, previous)) {
			return undefined;
		}

		const value = this.#createRow(epoch, previous?.state ?? null);
		const epochRow = {key: leaseEpochKey(this.#options.duty), value: {epoch}};
		const result = await this.#write(row?.version ?? null, value, [epochRow]);
		return result.kind === 'written' ? this.#createTenure(result.version, value, this.#lastAttempt!.sentMs) : undefined;
	}

	/** A lease that nobody has held or that was given back has no holder that the witnesses might attest. */
	async #mayWrite(epoch: LeaseEpoch, row: TableRow | undefined, previous: LeaseRow | undefined): Promise<boolean> {
		const {witnesses: outage} = this.#options;
		const isFree = row === undefined || previous?.holder === '';
		return outage === undefined || isFree || (await outage.announce(epoch, this.#signal) && !this.#signal.aborted);
	}

	/** Rule `own-epoch` of models/lease.pml: the epoch row is read after the takeover and must show the own epoch. */
	async #createTenure(version: number, value: LeaseRow, sentMs: number): Promise<Tenure | undefined> {
		const holder = new LeaseHolder(this.#durations, sentMs);
		const epochRow = await this.#options.table.read(leaseEpochKey(this.#options.duty));
		const {epoch, state} = value;
		// Another process may have taken the lease between the write and this read.
		const isOwn = (epochRow?.value as {epoch?: number} | undefined)?.epoch === epoch;
		return epochRow && isOwn && holder.isHeld(this.#options.clock.nowMs())
			? new Tenure({
				holder, epoch, epochRowVersion: epochRow.version, leaseRowVersion: version, state,
			})
			: undefined;
	}

	#createRow(epoch: LeaseEpoch, state: unknown, holder = this.#options.holder): LeaseRow {
		return {
			holder, epoch, writeId: this.#options.makeId(), state,
		};
	}

	async #write(version: number | null, value: LeaseRow, furtherPuts: readonly TablePut[] = []): Promise<WriteResult> {
		const {writeId} = value;
		this.#lastAttempt = {writeId, sentMs: this.#options.clock.nowMs()};
		const transaction = {
			writeId,
			checks: [{key: this.#key, version}],
			puts: [{key: this.#key, value}, ...furtherPuts],
			deletes: [],
		};
		return transactWithReadBack(this.#options.table, transaction, {
			key: this.#key, isOwnWrite: other => readLeaseRow(other)?.writeId === writeId,
		});
	}

	async #hold(tenure: Tenure): Promise<void> {
		const controller = new AbortController();
		const signal = AbortSignal.any([this.#signal, controller.signal]);
		const stop = (): void => {
			controller.abort();
		};

		const {duty, clock, witnesses: outage} = this.#options;
		const upkeep = Promise.all([
			this.#keepRenewing(tenure, signal).finally(stop),
			this.#watchExpiry(tenure, signal).finally(stop),
			outage && requestAttestations(tenure, outage, {clock, leaseRenewMs: this.#durations.leaseRenewMs}, signal).finally(stop),
		]);
		// Awaited below, when the duty has stopped; until then a rejection must not count as unhandled.
		upkeep.catch(() => undefined);
		try {
			await this.#options.onHeld(createLease(tenure, duty, clock), signal);
		} catch (error) {
			this.#fail(error, signal);
		} finally {
			stop();
			tenure.hasDutyStopped = true;
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

	/** Ends at expiry, also while a renewal waits for its answer. */
	async #watchExpiry(tenure: Tenure, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted && clock.nowMs() < tenure.authorityEndsAtMs) {
			// Short steps, because a paused process must notice soon after it resumes.
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
				return this.#awaitTable(tenure, signal);
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

	/** A lapsed lease is not renewed. The duty goes on under outage authority, if it has any, until the table can be read. */
	async #awaitTable(tenure: Tenure, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && tenure.authority(this.#options.clock.nowMs()) === 'outage') {
			tenure.hasTableRecovered = await this.#readBack(tenure);
			if (tenure.hasTableRecovered) {
				return;
			}

			await sleep(renewRetryMs, signal);
		}
	}

	/** Returns whether the table can be read. */
	async #readBack(tenure: Tenure): Promise<boolean> {
		const adopted = await this.#adoptVersion(tenure);
		return adopted !== 'unread';
	}

	/** Rule `renewal` of models/lease.pml: checks the lease row and leaves the epoch row alone. */
	async #renew(tenure: Tenure): Promise<'renewed' | 'retry' | 'lost'> {
		const result = await this.#write(tenure.leaseRowVersion, this.#createRow(tenure.epoch, tenure.state));
		if (result.kind === 'written') {
			tenure.leaseRowVersion = result.version;
			tenure.holder.renewed(this.#lastAttempt!.sentMs, this.#options.clock.nowMs());
			return 'renewed';
		}

		if (result.kind !== 'refused') {
			return 'retry';
		}

		return await this.#adoptVersion(tenure) === 'lost' ? 'lost' : 'retry';
	}

	/**
	 * Rule `adopt` of models/lease.pml: an earlier renewal with a lost answer may have changed the version; only this
	 * process writes its epoch.
	 */
	async #adoptVersion(tenure: Tenure): Promise<'adopted' | 'unread' | 'lost'> {
		try {
			const row = await this.#options.table.read(this.#key);
			const value = readLeaseRow(row?.value);
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
	 * Rule `give-back` of models/lease.pml: once the duty has stopped, lets others take the lease at once. If this fails,
	 * they wait for its expiry.
	 */
	async #giveBack(tenure: Tenure): Promise<void> {
		if (tenure.hasTableRecovered || tenure.holder.isHeld(this.#options.clock.nowMs())) {
			await this.#write(tenure.leaseRowVersion, this.#createRow(tenure.epoch, tenure.state, '')).catch(() => undefined);
		}

		this.#lastAttempt = undefined;
	}
}

/** Takes the lease of a duty whenever it is free and runs the duty while it is held, until `signal` aborts. */
export const runLease = async (options: LeaseRunnerOptions, signal: AbortSignal): Promise<void> => {
	await new LeaseRunner(options, signal).run();
};
