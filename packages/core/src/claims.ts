/**
 * Claims of actions. A row is inserted before the action is dispatched and never deleted, so that an action runs at most
 * once whatever becomes of the process that claimed it.
 */
import {Buffer} from 'node:buffer';
import type {ActionId, ClaimId, EntryId} from './ids.js';

/** Longest wait of a claim for others to join its transaction. */
export const claimBatchMs = 20;
/** Completions wait longer than claims, since no caller waits for them. */
export const completionBatchMs = 200;
/** The table's limit of rows in a transaction. */
export const maxBatchRows = 100;
export const claimWaitMs = 2000;
/** A larger answer is not recorded; its repetition is refused. */
export const maxRecordedAnswerBytes = 16 * 1024;

/** The recorded answer of an action. */
export type ActionAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly bodyBase64: string;
};

/** Value of the row `action/<actionId>`. */
export type ClaimRow = {
	readonly claimId: ClaimId;
	readonly entryId: EntryId;
	/** Digest of method, path and body. */
	readonly digest: string;
	readonly state: 'claimed' | 'done' | 'released';
	/** Present in the state `done` unless the answer was too large. */
	readonly answer?: ActionAnswer;
};

/** A call that wants to run an action. */
export type ClaimRequest = {readonly actionId: ActionId; readonly digest: string};

/** What the caller of an action is told, or that the action may be dispatched. */
export type ClaimResult
	= | {readonly kind: 'granted'; readonly claimId: ClaimId}
		| {readonly kind: 'in-doubt'}
		| {readonly kind: 'done'; readonly answer: ActionAnswer}
		| {readonly kind: 'already-ran'}
		| {readonly kind: 'key-reused'}
		| {readonly kind: 'unavailable'; readonly retryAfterMs: number};

export const claimKey = (actionId: ActionId): string => `action/${actionId}`;

const states = new Set<unknown>(['claimed', 'done', 'released']);

/** Reads the value of a claim row; undefined if it has another form. */
export const readClaimRow = (value: unknown): ClaimRow | undefined => {
	const {claimId, digest, state} = (value ?? {}) as Partial<ClaimRow>;
	return typeof claimId === 'string' && typeof digest === 'string' && states.has(state) ? value as ClaimRow : undefined;
};

/** What a row that is already there means for a request. A `released` claim never ran and may be claimed again. */
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

/** Row of a finished action, without its answer if that is too large to record. */
export const completeClaimRow = (row: ClaimRow, answer: ActionAnswer): ClaimRow => {
	const done: ClaimRow = {...row, state: 'done'};
	const bytes = Buffer.byteLength(JSON.stringify(answer));
	return bytes <= maxRecordedAnswerBytes ? {...done, answer} : done;
};

/** Row of a claim that was given up before the action was dispatched. */
export const releaseClaimRow = (row: ClaimRow): ClaimRow => ({...row, state: 'released'});

/** Where an item with a key goes: the first batch that has room and no other item of that key. */
export const findBatch = <Batch extends ReadonlyMap<string, unknown>>(batches: readonly Batch[], key: string): Batch | undefined =>
	batches.find(batch => batch.size < maxBatchRows && !batch.has(key));
