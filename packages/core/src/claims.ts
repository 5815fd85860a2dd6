/**
 * Claims that make each action run at most once. An entry inserts a claim row before it dispatches an action, and the row
 * is never deleted, so the action does not run again even if the entry crashes. The functions create claim rows and decide
 * what an existing row means for a new request with the same action id.
 */
import {Buffer} from 'node:buffer';
import type {ActionId, ClaimId, EntryId} from './ids.js';

/** How long a claim may wait for other claims to share its transaction. */
export const claimBatchMs = 20;
/** Longer than for claims, because no caller waits for a completion. */
export const completionBatchMs = 200;
/** The table accepts no more rows in one transaction. */
export const maxBatchRows = 100;
/** How long a caller waits for its claim before it gets `unavailable`. */
export const claimWaitMs = 2000;
/** A larger answer is not recorded, so a repetition of its request gets `already-ran`. */
export const maxRecordedAnswerBytes = 16 * 1024;

/** The answer of an action, as recorded in its claim row. */
export type ActionAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly bodyBase64: string;
};

/** Value of the row `action/<actionId>`. */
export type ClaimRow = {
	readonly claimId: ClaimId;
	readonly entryId: EntryId;
	/** Digest of the request's method, path and body. */
	readonly digest: string;
	readonly state: 'claimed' | 'done' | 'released';
	/** Present in state `done`, unless the answer was too large to record. */
	readonly answer?: ActionAnswer;
};

/** A request for permission to run an action. */
export type ClaimRequest = {readonly actionId: ActionId; readonly digest: string};

/** Permission to dispatch an action, or the reason why it must not be dispatched now. */
export type ClaimResult
	= | {readonly kind: 'granted'; readonly claimId: ClaimId}
		| {readonly kind: 'in-doubt'}
		| {readonly kind: 'done'; readonly answer: ActionAnswer}
		| {readonly kind: 'already-ran'}
		| {readonly kind: 'key-reused'}
		| {readonly kind: 'unavailable'; readonly retryAfterMs: number};

export const claimKey = (actionId: ActionId): string => `action/${actionId}`;

const states = new Set<unknown>(['claimed', 'done', 'released']);

/** Parses the value of a claim row. Returns undefined if it is not a claim row. */
export const readClaimRow = (value: unknown): ClaimRow | undefined => {
	const {claimId, digest, state} = (value ?? {}) as Partial<ClaimRow>;
	return typeof claimId === 'string' && typeof digest === 'string' && states.has(state) ? value as ClaimRow : undefined;
};

/** Determines what an existing row means for a request. A `released` claim never ran and may be claimed again. */
export const classifyClaimRow = (row: ClaimRow, request: ClaimRequest): Exclude<ClaimResult, {kind: 'granted' | 'unavailable'}> | {readonly kind: 'claimable'} => {
	if (row.digest !== request.digest) {
		return {kind: 'key-reused'};
	}

	if (row.state === 'released') {
		return {kind: 'claimable'};
	}

	if (row.state === 'claimed') {
		return {kind: 'in-doubt'};
	}

	return row.answer ? {kind: 'done', answer: row.answer} : {kind: 'already-ran'};
};

/** Creates the row of a completed action. It omits an answer that is too large to record. */
export const completeClaimRow = (row: ClaimRow, answer: ActionAnswer): ClaimRow => {
	const completedRow: ClaimRow = {...row, state: 'done'};
	const answerBytes = Buffer.byteLength(JSON.stringify(answer));
	return answerBytes <= maxRecordedAnswerBytes ? {...completedRow, answer} : completedRow;
};

/** Creates the row of a claim that was released before the action was dispatched. */
export const releaseClaimRow = (row: ClaimRow): ClaimRow => ({...row, state: 'released'});

/** Finds the first batch that is not full and has no item with this key. */
export const findBatch = <Batch extends ReadonlyMap<string, unknown>>(batches: readonly Batch[], key: string): Batch | undefined =>
	batches.find(batch => batch.size < maxBatchRows && !batch.has(key));
