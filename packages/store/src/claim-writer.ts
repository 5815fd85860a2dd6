/**
 * Claims actions in the table before they are dispatched, so that each runs at most once. A claim that is not decided
 * within `claimWaitMs` is reported as unavailable; if its row was written or may still be written, it is released in the
 * background.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	brandAs,
	claimBatchMs,
	claimKey,
	claimWaitMs,
	completeClaimRow,
	completionBatchMs,
	classifyClaimRow,
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

// An outage of the table usually lasts longer, but callers spread their retries by their own pauses.
const defaultRetryAfterMs = 1000;
const updateLimitMs = 10_000;
// Pauses this long because a release matters only to a caller that retries, and an outage may be long.
const defaultReleaseRetryPauseMs = 1000;
// Allows one or two attempts of the group writer; the loop around them pauses for longer.
const releaseAttemptLimitMs = 500;
// Bounds the memory and the retries during a long outage; further claims are rejected without a write.
const defaultMaxPendingReleases = 1000;

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
	/** Records the answer of an action that ran. Returns false if it could not be recorded; the action then stays in doubt. */
	complete(claimId: ClaimId, answer: ActionAnswer): Promise<boolean>;
	/** Releases a claim whose action certainly did not run. Returns false if the action stays in doubt. */
	release(claimId: ClaimId): Promise<boolean>;
};

/** A claim row that this writer has written, with the version of the row. */
type WrittenClaim = {readonly key: string; readonly version: number; readonly row: ClaimRow};

type ClaimInsert = {readonly key: string; readonly version: number | null; readonly row: ClaimRow; readonly deadlineMs: number};

type PendingCompletion = {readonly digest: string; readonly answer: ActionAnswer};

class TableClaimWriter {
	readonly #options: ClaimWriterOptions;
	readonly #signal: AbortSignal;
	readonly #claimGroupWriter: GroupWriter;
	readonly #completionGroupWriter: GroupWriter;
	readonly #grantedClaims = new Map<ClaimId, WrittenClaim>();
	/** Answers that are being recorded, by row key. Until they are, the row in the table still shows the action as in doubt. */
	readonly #pendingCompletions = new Map<string, PendingCompletion>();
	readonly #unavailableResult: ClaimResult = {kind: 'unavailable', retryAfterMs: defaultRetryAfterMs};
	/** Number of claims that are being released in the background. */
	#pendingReleases = 0;

	constructor(options: ClaimWriterOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
		this.#claimGroupWriter = createGroupWriter({...options, batchMs: claimBatchMs}, signal);
		this.#completionGroupWriter = createGroupWriter({...options, batchMs: options.completionBatchMs ?? completionBatchMs}, signal);
	}

	async claim(request: ClaimRequest): Promise<ClaimResult> {
		if (this.#pendingReleases >= (this.#options.maxPendingReleases ?? defaultMaxPendingReleases)) {
			return this.#unavailableResult;
		}

		const completion = this.#pendingCompletions.get(claimKey(request.actionId));
		if (completion?.digest === request.digest) {
			return {kind: 'done', answer: completion.answer};
		}

		const waitMs = this.#options.claimWaitMs ?? claimWaitMs;
		const deadlineMs = this.#options.clock.nowMs() + waitMs;
		const attempt = this.#insert(request, null, deadlineMs);
		const timeoutCanceller = new AbortController();
		const timeout = delay(waitMs, this.#unavailableResult, {signal: timeoutCanceller.signal}).catch(() => this.#unavailableResult);
		const result = await Promise.race([attempt, timeout]);
		timeoutCanceller.abort();
		if (result === this.#unavailableResult) {
			void this.#releaseIfGrantedLate(attempt);
		}

		return result;
	}

	async complete(claimId: ClaimId, answer: ActionAnswer): Promise<boolean> {
		const claim = this.#grantedClaims.get(claimId);
		if (!claim) {
			return false;
		}

		this.#pendingCompletions.set(claim.key, {digest: claim.row.digest, answer});
		try {
			return await this.#update(claimId, this.#completionGroupWriter, row => completeClaimRow(row, answer));
		} finally {
			this.#pendingCompletions.delete(claim.key);
		}
	}

	async release(claimId: ClaimId): Promise<boolean> {
		return this.#update(claimId, this.#claimGroupWriter, releaseClaimRow);
	}

	/**
	 * Rule `claim` of models/action-claim.pml: the row is durable before the first byte of the request is sent, and its write
	 * checks the version that was read.
	 */
	async #insert(request: ClaimRequest, version: number | null, deadlineMs: number): Promise<ClaimResult> {
		const claimId = brandAs<ClaimId>(this.#options.makeId());
		const row: ClaimRow = {
			claimId, entryId: this.#options.entryId, digest: request.digest, state: 'claimed',
		};
		const insert = {
			key: claimKey(request.actionId), version, row, deadlineMs,
		};
		const result = await this.#write(this.#claimGroupWriter, insert);
		return this.#handleInsertResult(request, insert, result);
	}

	async #handleInsertResult(request: ClaimRequest, insert: ClaimInsert, result: GroupedWriteResult): Promise<ClaimResult> {
		if (result.kind === 'written') {
			this.#grantedClaims.set(insert.row.claimId, {key: insert.key, version: result.version, row: insert.row});
			return {kind: 'granted', claimId: insert.row.claimId};
		}

		if (result.kind === 'conflict') {
			return this.#resolveConflict(request, result.row, insert.deadlineMs);
		}

		if (result.kind === 'unknown') {
			void this.#releaseInBackground(insert);
		}

		return this.#unavailableResult;
	}

	async #resolveConflict(request: ClaimRequest, row: TableRow | undefined, deadlineMs: number): Promise<ClaimResult> {
		if (!row) {
			return this.#insert(request, null, deadlineMs);
		}

		const claimRow = readClaimRow(row.value);
		// A row in an unknown format may belong to an action that ran.
		if (!claimRow) {
			return {kind: 'in-doubt'};
		}

		const existing = classifyClaimRow(claimRow, request);
		return existing.kind === 'claimable' ? this.#insert(request, row.version, deadlineMs) : existing;
	}

	async #write(group: GroupWriter, {key, version, row, deadlineMs}: ClaimInsert): Promise<GroupedWriteResult> {
		const isOwnWrite = (value: unknown): boolean => {
			const other = readClaimRow(value);
			return other?.claimId === row.claimId && other.state === row.state;
		};

		return group.write({
			key, version, value: row, isOwnWrite, deadlineMs,
		});
	}

	/** Rule `release` of models/action-claim.pml: only the row version that this claim wrote is completed or released. */
	async #update(claimId: ClaimId, group: GroupWriter, change: (row: ClaimRow) => ClaimRow): Promise<boolean> {
		const claim = this.#grantedClaims.get(claimId);
		if (!claim) {
			return false;
		}

		this.#grantedClaims.delete(claimId);
		const deadlineMs = this.#options.clock.nowMs() + updateLimitMs;
		const result = await this.#write(group, {...claim, row: change(claim.row), deadlineMs});
		return result.kind === 'written';
	}

	/** Releases a claim that was granted only after it had been reported as unavailable. */
	async #releaseIfGrantedLate(attempt: Promise<ClaimResult>): Promise<void> {
		const result = await attempt;
		const claim = result.kind === 'granted' ? this.#grantedClaims.get(result.claimId) : undefined;
		if (claim) {
			this.#grantedClaims.delete(claim.row.claimId);
			await this.#releaseInBackground(claim);
		}
	}

	/**
	 * Rule `late-claim` of models/action-claim.pml: writes the row as released, whether or not the claim was written. Both
	 * writes check the same version, so the claim can't be written after the release.
	 */
	async #releaseInBackground(claim: WrittenClaim | ClaimInsert): Promise<void> {
		this.#pendingReleases += 1;
		let expectedVersion: number | null | 'settled' = claim.version;
		while (expectedVersion !== 'settled' && !this.#signal.aborted) {
			expectedVersion = await this.#tryRelease({...claim, version: expectedVersion});
		}

		this.#pendingReleases -= 1;
	}

	/** Returns the row version that the next attempt must check, or `settled` if no attempt is needed. */
	async #tryRelease({key, version, row}: Omit<ClaimInsert, 'deadlineMs'>): Promise<number | null | 'settled'> {
		const deadlineMs = this.#options.clock.nowMs() + releaseAttemptLimitMs;
		const result = await this.#write(this.#claimGroupWriter, {
			key, version, row: releaseClaimRow(row), deadlineMs,
		});
		if (result.kind === 'written') {
			return 'settled';
		}

		if (result.kind === 'conflict') {
			const isOwnRow = readClaimRow(result.row?.value)?.claimId === row.claimId;
			return isOwnRow ? result.row!.version : 'settled';
		}

		await delay(this.#options.releaseRetryPauseMs ?? defaultReleaseRetryPauseMs, undefined, {signal: this.#signal}).catch(() => undefined);
		return version;
	}
}

/** Creates the claim writer of one entry. Background releases end when `signal` aborts. */
export const createClaimWriter = (options: ClaimWriterOptions, signal: AbortSignal): ClaimWriter => {
	const writer = new TableClaimWriter(options, signal);
	return {
		claim: async request => writer.claim(request),
		complete: async (claimId, answer) => writer.complete(claimId, answer),
		release: async claimId => writer.release(claimId),
	};
};
