/**
 * Decides whether a request may use a route, and for which client account.
 */
import {
	brandAs, hashKey, type ClientAccountName, type Clock, type ConfigView, type ResolvedRoute,
} from '@hawthorncleat/core';
import type {ClientAccount} from '@hawthorncleat/schema';
import {callerError} from './caller-errors.js';
import type {ConfigSource, FreshnessCheck} from './deps.js';

/** Open routes run without an account; no account can have the empty name. */
const noAccount = brandAs<ClientAccountName>('');

/** The account that a request runs for. */
export type Caller = {readonly name: ClientAccountName; readonly account?: ClientAccount};

type AuthorizeDeps = {
	readonly clock: Clock;
	readonly freshness: FreshnessCheck;
	readonly config: ConfigSource;
	readonly retryAfterMs: number;
};

const findAccount = (view: ConfigView, key: string | undefined): ClientAccount => {
	if (key === undefined) {
		throw callerError('key-missing', 'send the key as "Authorization: Bearer <key>"');
	}

	const resolved = view.findKey(hashKey(key));
	if (!resolved) {
		throw callerError('key-unknown', 'the key is not known');
	}

	if (resolved.key.state !== 'active') {
		throw callerError('key-withdrawn', 'the key has been withdrawn');
	}

	return resolved.account;
};

/** Checks freshness and the key alone, before a route is known. */
export const authenticate = (key: string | undefined, deps: AuthorizeDeps): ClientAccount => {
	if (!deps.freshness.mayServe(deps.clock.nowMs())) {
		const message = 'this entry cannot tell whether its list of keys is up to date';
		throw callerError('freshness-lost', message, {retryAfterMs: deps.retryAfterMs});
	}

	return findAccount(deps.config.current(), key);
};

/**
 * Checks the key against the configuration in force now. It is called again after each wait before the dispatch,
 * because the key may have been withdrawn in the meantime.
 */
export const authorize = (route: ResolvedRoute, key: string | undefined, deps: AuthorizeDeps): Caller => {
	if (route.route.access === 'open') {
		return {name: noAccount};
	}

	const account = authenticate(key, deps);
	if (route.accounts && !route.accounts.has(account.name)) {
		// The same answer as for a missing route, so that an account does not learn of another account's routes.
		throw callerError('route-unknown', 'no such route');
	}

	return {name: brandAs<ClientAccountName>(account.name), account};
};
