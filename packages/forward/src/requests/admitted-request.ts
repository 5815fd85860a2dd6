/**
 * A request that has been authorized and read, and the parts of its prompt that other requests may share.
 */
import type {Buffer} from 'node:buffer';
import {
	brandAs, type ForwardAccount, type ForwardRoute, type ForwardService, type SegmentKey,
} from '@hawthorncleat/core';
import type {CallerExchange} from '../callers/caller-exchange.js';
import type {CallerRequest} from '../ports.js';

export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly body: Buffer | undefined;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	readonly account: ForwardAccount | undefined;
	readonly exchange: CallerExchange;
	/** Expected output tokens of a model request; 0 for other requests. */
	readonly outputTokens: number;
};

/** Ids of the prompt segments that other requests may share. The last segment belongs to one request or session. */
export const sharedSegmentIds = ({segments}: CallerRequest): string[] => segments.slice(0, -1).map(({id}) => id);

/** The prompt segments of a request that other requests of its service may share. */
export const segmentKeysOf = ({request, service}: Pick<AdmittedRequest, 'request' | 'service'>): SegmentKey[] =>
	sharedSegmentIds(request).map(id => brandAs<SegmentKey>(`${service.name}/${id}`));
