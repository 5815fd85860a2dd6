/**
 * Runs an action at most once: it is claimed before it is dispatched, and the claim then records its answer or is
 * released if the action certainly did not run.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	brandAs, isRequestError, type ActionId, type ClaimId, type ClientAccountName,
} from '@hawthorncleat/core';
import type {ServiceCallResult} from '@hawthorncleat/schema';
import {callerError} from './caller-errors.js';
import type {Claims, ClaimResult} from './deps.js';
import {checkServiceAnswer, type ServiceRequest} from './service-request.js';

const maxKeyLength = 255;

const sha256 = (...parts: ReadonlyArray<string | Uint8Array>): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		// The length keeps two different lists of parts from giving the same bytes.
		hash.update(`${Buffer.byteLength(part)}:`).update(part);
	}

	return hash.digest('hex');
};

/** Identifies an action by account, route and the caller's key. */
export const actionIdOf = (account: ClientAccountName, route: string, key: string): ActionId =>
	brandAs<ActionId>(sha256(account, route, key));

/** Digest of what the action does, to notice a key that is used for something else. */
export const actionDigest = (request: Pick<ServiceRequest, 'method' | 'path' | 'body'>): string =>
	sha256(request.method, request.path, request.body);

/** Reads the `Idempotency-Key` header. */
export const readIdempotencyKey = (header: string | string[] | undefined): string => {
	if (typeof header !== 'string' || header.trim() === '') {
		throw callerError('idempotency-key-missing', 'this route needs the header Idempotency-Key');
	}

	if (header.length > maxKeyLength) {
		throw callerError('bad-request', `Idempotency-Key must have at most ${maxKeyLength} characters`);
	}

	return header;
};

/** What running an action needs. */
export type ActionDeps = {
	readonly claims: Claims;
	/** Dispatches the claimed action. */
	readonly dispatch: (request: ServiceRequest) => Promise<ServiceCallResult>;
	/** Throws if the request may no longer be dispatched, for instance because its key was withdrawn. */
	readonly checkAgain: () => void;
	/** Keeps the process alive for a write that the caller does not wait for. */
	readonly inBackground: (work: Promise<unknown>) => void;
	readonly retryAfterMs: number;
};

const claimsUnavailable = (retryAfterMs: number, cause?: unknown): Error =>
	callerError('claims-unavailable', 'the action could not be claimed and has not been sent', {retryAfterMs, cause});

const recordedAnswer = (claim: ClaimResult & {kind: 'done'}): ServiceCallResult => {
	const answer = checkServiceAnswer(claim.answer);
	if (!answer) {
		throw callerError('action-already-ran', 'the action has run and its answer is no longer available');
	}

	return answer;
};

const dispatchOrRelease = async (
	request: ServiceRequest,
	ids: {readonly actionId: ActionId; readonly claimId: ClaimId},
	deps: ActionDeps,
): Promise<ServiceCallResult> => {
	try {
		deps.checkAgain();
		return await deps.dispatch({...request, action: ids});
	} catch (error) {
		if (isRequestError(error) && error.ran === 'not-run') {
			deps.inBackground(deps.claims.release(ids.claimId));
		}

		throw error;
	}
};

const dispatchClaimed = async (
	request: ServiceRequest,
	ids: {readonly actionId: ActionId; readonly claimId: ClaimId},
	deps: ActionDeps,
): Promise<ServiceCallResult> => {
	const answer = await dispatchOrRelease(request, ids, deps);
	// Outside of the release above: an action that ran must not be released, whatever happens here.
	deps.inBackground(deps.claims.complete(ids.claimId, answer));
	return answer;
};

/** Runs an action, or returns the answer that was recorded when it ran. */
export const runAction = async (request: ServiceRequest, key: string, deps: ActionDeps): Promise<ServiceCallResult> => {
	const actionId = actionIdOf(request.clientAccount, request.route.route.name, key);
	const action = {actionId, digest: actionDigest(request)};
	const claim = await deps.claims.claim(action).catch((error: unknown) => {
		throw claimsUnavailable(deps.retryAfterMs, error);
	});
	switch (claim.kind) {
		case 'granted': {
			return dispatchClaimed(request, {actionId, claimId: claim.claimId}, deps);
		}

		case 'done': {
			return recordedAnswer(claim);
		}

		case 'already-ran': {
			throw callerError('action-already-ran', 'the action has run; its answer was too large to be kept');
		}

		case 'in-doubt': {
			throw callerError('action-in-doubt', 'an earlier call with this key may have run');
		}

		case 'key-reused': {
			throw callerError('idempotency-key-reused', 'this Idempotency-Key was used for another request');
		}

		case 'unavailable': {
			throw claimsUnavailable(claim.retryAfterMs);
		}
	}
};
