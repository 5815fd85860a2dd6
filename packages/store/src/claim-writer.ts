/**
 * Claims actions in the table before they are dispatched. A claim that was not settled in time is answered as
 * unavailable and, if its row was or may still be written, released in the background.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	brandAs,
	claimBatchMs,
	claimKey,
	claimWaitMs,
	completeClaimRow,
	completionBatchMs,
	judgeClaimRow,
	readClaimRow,
	releaseClaimRow,
	type ActionAnswer,
	type ClaimId,
	type ClaimRequest,
	type ClaimResult,
	type ClaimRow,
	type Clock,
	type EntryId,
	type MakeId,
} from '@hawthorncleat/core';
import type {TableRow} from '@hawthorncleat/schema';
import {createGroupWriter, type GroupedWriteResult, type GroupWriter} from './group-writer.js';
import type {Table} from './store.js';

/** An outage of the table usually lasts longer than this; callers spread by their own waits. */
const defaultRetryAfterMs = 1000;
const completionWaitMs = 10_000;
// Releases matter only to a caller who tries again, and an outage may be long.
const releaseRetryMs = 1000;
// One or two attempts; the loop around them waits for the table with a longer pause.
const releaseAttemptMs = 500;
// Bounds memory and the retries during a long outage; further claims are refused without being written.
const maxUnsettledClaims = 1000;

export type ClaimWriterOptions = {
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly entryId: EntryId;
	readonly claimWaitMs?: number;
	readonly completionBatchMs?: number;
	readonly releaseRetryPauseMs?: number;
	readonly maxPendingReleases?: number;
};

export type ClaimWriter = {
	claim(request: ClaimRequest): Promise<ClaimResult>;
	/** Records the answer of an action that ran; false if it could not be recorded, so that it stays in doubt. */
	complete(claimId: ClaimId, answer: ActionAnswer): Promise<boolean>;
	/** Gives up a claim whose action certainly did not run; false if it stays in doubt. */
	release(claimId: ClaimId): Promise<boolean>;
};

/** A row that this writer wrote. */
type OwnClaim = {readonly key: string; readonly version: number; readonly row: ClaimRow};

type Insert = {readonly key: string; readonly version: number | null; readonly row: ClaimRow; readonly deadlineMs: number};

type Completion = {readonly digest: string; readonly answer: ActionAnswer};

class Writer {
	readonly #options: ClaimWriterOptions;
	readonly #signal: AbortSignal;
	readonly #claims: GroupWriter;
	readonly #completions: GroupWriter;
	readonly #granted = new Map<ClaimId, OwnClaim>();
	/** Answers whose rows are being written, by row key; until then the row alone would say "in doubt". */
	readonly #completing = new Map<string, Completion>();
	readonly #unavailable: ClaimResult = {kind: 'unavailable', retryAfterMs: defaultRetryAfterMs};
	/** Claims that are being released in the background. */
	#unsettled = 0;

	constructor(options: ClaimWriterOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
		this.#claims = createGroupWriter({...options, batchMs: claimBatchMs}, signal);
		this.#completions = createGroupWriter({...options, batchMs: options.completionBatchMs ?? completionBatchMs}, signal);
	}

	async claim(request: ClaimRequest): Promise<ClaimResult> {
		if (this.#unsettled >= (this.#options.maxPendingReleases ?? maxUnsettledClaims)) {
			return this.#unavailable;
		}

		const completion = this.#completing.get(claimKey(request.actionId));
		if (completion?.digest === request.digest) {
			return {kind: 'done', answer: completion.answer};
		}

		const waitMs = this.#options.claimWaitMs ?? claimWaitMs;
		const deadlineMs = this.#options.clock.nowMs() + waitMs;
		const attempt = this.#insert(request, null, deadlineMs);
		const timer = new AbortController();
		const timeout = delay(waitMs, this.#unavailable, {signal: timer.signal}).catch(() => this.#unavailable);
		const result = await Promise.race([attempt, timeout]);
		timer.abort();
		if (result === this.#unavailable) {
			void this.#releaseWhenLate(attempt);
		}

		return result;
	}

	async complete(claimId: ClaimId, answer: ActionAnswer): Promise<boolean> {
		const own = this.#granted.get(claimId);
		if (!own) {
			return false;
		}

		this.#completing.set(own.key, {digest: own.row.digest, answer});
		try {
			return await this.#update(claimId, this.#completions, row => completeClaimRow(row, answer));
		} finally {
			this.#completing.delete(own.key);
		}
	}

	async release(claimId: ClaimId): Promise<boolean> {
		return this.#update(claimId, this.#claims, releaseClaimRow);
	}

	/** Rule `claim` of models/action-claim.pml: a durable row, on the version read, before the first byte. */
	async #insert(request: ClaimRequest, version: number | null, deadlineMs: number): Promise<ClaimResult> {
		const claimId = brandAs<ClaimId>(this.#options.makeId());
		const row: ClaimRow = {
			claimId, entryId: this.#options.entryId, digest: request.digest, state: 'claimed',
		};
		const insert = {
			key: claimKey(request.actionId), version, row, deadlineMs,
		};
		const result = await this.#write(this.#claims, insert);
		return this.#receive(request, insert, result);
	}

	async #receive(request: ClaimRequest, insert: Insert, result: GroupedWriteResult): Promise<ClaimResult> {
		if (result.kind === 'written') {
			this.#granted.set(insert.row.claimId, {key: insert.key, version: result.version, row: insert.row});
			return {kind: 'granted', claimId: insert.row.claimId};
		}

		if (result.kind === 'conflict') {
			return this.#judge(request, result.row, insert.deadlineMs);
		}

		if (result.kind === 'unknown') {
			void this.#releaseUnsettled(insert);
		}

		return this.#unavailable;
	}

	async #judge(request: ClaimRequest, row: TableRow | undefined, deadlineMs: number): Promise<ClaimResult> {
		if (!row) {
			return this.#insert(request, null, deadlineMs);
		}

		const claimRow = readClaimRow(row.value);
		// A row of an unknown form may belong to an action that ran.
		if (!claimRow) {
			return {kind: 'in-doubt'};
		}

		const judgement = judgeClaimRow(claimRow, request);
		return judgement.kind === 'claimable' ? this.#insert(request, row.version, deadlineMs) : judgement;
	}

	async #write(group: GroupWriter, {key, version, row, deadlineMs}: Insert): Promise<GroupedWriteResult> {
		const isOurs = (value: unknown): boolean => {
			const other = readClaimRow(value);
			return other?.claimId === row.claimId && other.state === row.state;
		};

		return group.write({
			key, version, value: row, isOwnWrite: isOurs, deadlineMs,
		});
	}

	/** Rule `release` of models/action-claim.pml: only the version that this claim wrote is completed or released. */
	async #update(claimId: ClaimId, group: GroupWriter, change: (row: ClaimRow) => ClaimRow): Promise<boolean> {
		const own = this.#granted.get(claimId);
		if (!own) {
			return false;
		}

		this.#granted.delete(claimId);
		const deadlineMs = this.#options.clock.nowMs() + completionWaitMs;
		const result = await this.#write(group, {...own, row: change(own.row), deadlineMs});
		return result.kind === 'written';
	}

	/** Releases a claim that was granted after its caller had been told that it is unavailable. */
	async #releaseWhenLate(attempt: Promise<ClaimResult>): Promise<void> {
		const result = await attempt;
		const own = result.kind === 'granted' ? this.#granted.get(result.claimId) : undefined;
		if (own) {
			this.#granted.delete(own.row.claimId);
			await this.#releaseUnsettled(own);
		}
	}

	/**
	 * Rule `late-claim` of models/action-claim.pml: writes the row as released, whether or not the claim was written. Both writes have the same check, so the claim
	 * cannot arrive after the release.
	 */
	async #releaseUnsettled(claim: OwnClaim | Insert): Promise<void> {
		this.#unsettled += 1;
		let next: number | null | 'settled' = claim.version;
		while (next !== 'settled' && !this.#signal.aborted) {
			next = await this.#tryRelease({...claim, version: next});
		}

		this.#unsettled -= 1;
	}

	/** Returns the version that the next attempt has to expect. */
	async #tryRelease({key, version, row}: Omit<Insert, 'deadlineMs'>): Promise<number | null | 'settled'> {
		const deadlineMs = this.#options.clock.nowMs() + releaseAttemptMs;
		const result = await this.#write(this.#claims, {
			key, version, row: releaseClaimRow(row), deadlineMs,
		});
		if (result.kind === 'written') {
			return 'settled';
		}

		if (result.kind === 'conflict') {
			const isOwnRow = readClaimRow(result.row?.value)?.claimId === row.claimId;
			return isOwnRow ? result.row!.version : 'settled';
		}

		await delay(this.#options.releaseRetryPauseMs ?? releaseRetryMs, undefined, {signal: this.#signal}).catch(() => undefined);
		return version;
	}
}

/** Creates the claim writer of one entry. Background releases end when `signal` aborts. */
export const createClaimWriter = (options: ClaimWriterOptions, signal: AbortSignal): ClaimWriter => {
	const writer = new Writer(options, signal);
	return {
		claim: async request => writer.claim(request),
		complete: async (claimId, answer) => writer.complete(claimId, answer),
		release: async claimId => writer.release(claimId),
	};
};
