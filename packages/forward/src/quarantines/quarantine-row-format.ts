/**
 * The rows in which the store keeps quarantines of prompt segments and of requests. Their times are readings of the store's clock. Both kinds share one table, which
 * an entry reads once at its start.
 */
import {createHash} from 'node:crypto';
import {
	brandAs, retainedUntilMs, type Fingerprint, type RequestQuarantine, type SegmentKey, type SegmentQuarantine,
} from '@hawthorncleat/core';
import type {StoreAnswer, StoreRow} from '../ports.js';
import {
	isAmount, isFields, isListOf, isText, parseJson,
} from '../utils/value-checks.js';
import type {ToldRequest} from './request-news.js';
import type {SentQuarantine} from './segment-quarantines.js';

/** Row keys are short; segments are named by callers. */
const keyLength = 22;

export type KeyedRow = {readonly key: string; readonly value: string};

/** Quarantines that are in effect, and requests that are remembered after theirs. */
export type KeptQuarantines = {readonly segments: readonly SentQuarantine[]; readonly requests: readonly ToldRequest[]};

type SegmentRow = {readonly segment: string; readonly companions: readonly string[]; readonly refutedAfterMs: number; readonly untilMs: number};
type RequestRow = {readonly request: string; readonly count: number; readonly sinceMs: number; readonly untilMs: number};

export const segmentRowKey = (segment: SegmentKey): string => createHash('sha256').update(segment).digest('base64url').slice(0, keyLength);

/** Differs from all keys of segments, which are longer. */
export const requestRowKey = (fingerprint: Fingerprint): string => `r-${fingerprint}`;

export const encodeSegmentRow = ({segment, companions, refutedAfterMs, untilMs}: SegmentQuarantine, storeOffsetMs: number): KeyedRow => {
	const row: SegmentRow = {
		segment, companions, refutedAfterMs: refutedAfterMs + storeOffsetMs, untilMs: untilMs + storeOffsetMs,
	};
	return {key: segmentRowKey(segment), value: JSON.stringify(row)};
};

export const encodeRequestRow = ({fingerprint, count, sinceMs, untilMs}: RequestQuarantine, storeOffsetMs: number): KeyedRow => {
	const row: RequestRow = {
		request: fingerprint, count, sinceMs: sinceMs + storeOffsetMs, untilMs: untilMs + storeOffsetMs,
	};
	return {key: requestRowKey(fingerprint), value: JSON.stringify(row)};
};

/** Readings of the store's clock, and differences to them, may be negative. */
const isReading = (value: unknown): value is number => Number.isFinite(value);

/** A row of an unknown form is no quarantine. */
const readRow = ({value}: StoreRow): RequestRow | SegmentRow | undefined => {
	const row = parseJson(value ?? '');
	if (!isFields(row)) {
		return undefined;
	}

	const {segment, companions, refutedAfterMs, request, count, sinceMs, untilMs} = row;
	if (isText(segment) && isListOf(companions, isText) && isReading(refutedAfterMs) && isReading(untilMs)) {
		return {
			segment, companions, refutedAfterMs, untilMs,
		};
	}

	return isText(request) && isAmount(count) && count >= 1 && isReading(sinceMs) && isReading(untilMs)
		? {
			request, count, sinceMs, untilMs,
		}
		: undefined;
};

const isSegmentRow = (row: RequestRow | SegmentRow): row is SegmentRow => 'segment' in row;

/** Until when a row is kept. */
const keptUntilMs = (row: RequestRow | SegmentRow): number => isSegmentRow(row) ? row.untilMs : retainedUntilMs(row);

const decodeSegment = ({segment, companions, refutedAfterMs, untilMs}: SegmentRow, storeNowMs: number): SentQuarantine => ({
	segment: brandAs<SegmentKey>(segment),
	companions: companions.map(companion => brandAs<SegmentKey>(companion)),
	refutedAgeMs: storeNowMs - refutedAfterMs,
	remainingMs: untilMs - storeNowMs,
});

/** Trials are not kept: the next one may begin at once. */
const decodeRequest = ({request, count, sinceMs, untilMs}: RequestRow, storeNowMs: number): ToldRequest => ({
	fingerprint: brandAs<Fingerprint>(request),
	count,
	trials: 0,
	ageMs: storeNowMs - sinceMs,
	remainingMs: untilMs - storeNowMs,
	heldMs: untilMs - storeNowMs,
});

/** Converts the rows that are still of use. */
export const decodeRows = ({rows, storeNowMs}: StoreAnswer): KeptQuarantines => {
	const kept = rows.flatMap(row => readRow(row) ?? []).filter(row => storeNowMs < keptUntilMs(row));
	return {
		segments: kept.flatMap(row => isSegmentRow(row) ? [decodeSegment(row, storeNowMs)] : []),
		requests: kept.flatMap(row => isSegmentRow(row) ? [] : [decodeRequest(row, storeNowMs)]),
	};
};

/** Keys of the rows that are over, and of those that cannot be read. */
export const findExpiredKeys = ({rows, storeNowMs}: StoreAnswer): string[] => rows
	.filter(stored => {
		const row = readRow(stored);
		return !row || keptUntilMs(row) <= storeNowMs;
	})
	.map(({key}) => key);
