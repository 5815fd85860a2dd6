/**
 * Which parts of a caller's request may travel on. Everything that is not allowed is dropped, and a key in a place
 * where it would travel on is refused.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Headers} from '@hawthorncleat/schema';
import {callerError} from './caller-errors.js';

const alwaysForwarded = ['accept', 'content-type', 'accept-language'];

/** Headers that carry keys or accounts, or that belong to one connection; a route cannot allow them. */
const neverForwarded = new Set([
	'authorization',
	'proxy-authorization',
	'cookie',
	'x-client-account',
	'idempotency-key',
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'content-length',
	'te',
	'trailer',
	'upgrade',
	'expect',
	'host',
	'forwarded',
	'via',
	'traceparent',
	'tracestate',
]);
const keyHeaderPattern = /(?:api|access|client|auth)[_-]?(?:key|token|account)|account/;
const keyParameterPattern = /^(?:.*[-_.])?(?:api[-_]?key|access[-_]?(?:key|token)|auth[-_]?(?:key|token)|authorization|bearer|key|token)$/;

/** A shorter key would be found in ordinary text. */
const minSearchedKeyLength = 8;
/** A service may decode or merge these, and would then run another path than the one whose route was checked. */
const ambiguousPathPattern = /%2f|%5c|%00|\/\//i;

const returnedHeaders = new Set([
	'content-type', 'content-language', 'cache-control', 'etag', 'last-modified', 'location', 'retry-after', 'vary',
]);

/** Returns the headers that go to the endpoint. A header that contains the caller's key is dropped too. */
export const forwardedHeaders = (headers: IncomingHttpHeaders, routeHeaders: readonly string[], key: string | undefined): Headers => {
	const allowed = new Set([...alwaysForwarded, ...routeHeaders.map(name => name.toLowerCase())]);
	const forwarded: Headers = {};
	for (const name of allowed) {
		const value = headers[name];
		const isBlocked = neverForwarded.has(name) || keyHeaderPattern.test(name);
		const text = Array.isArray(value) ? value.join(', ') : value;
		if (text !== undefined && !isBlocked && !containsKey(text, key)) {
			forwarded[name] = text;
		}
	}

	return forwarded;
};

/** Returns the headers of a service's answer that go to the caller. */
export const returnedToCaller = (headers: Headers): Headers => Object.fromEntries(Object.entries(headers)
	.map(([name, value]): [string, string] => [name.toLowerCase(), value])
	.filter(([name, value]) => returnedHeaders.has(name) && !/[^\t\u0020-\u007E\u0080-\u00FF]/.test(value)));

/** Refuses a request whose query names a key, or whose path or query contains the caller's own key. */
export const refuseKeyInUrl = (url: URL, key: string | undefined): void => {
	const names = [...url.searchParams.keys()];
	if (names.some(name => keyParameterPattern.test(name.toLowerCase()))) {
		throw callerError('bad-request', 'a key must be sent in the Authorization header, not in the query');
	}

	if (containsKey(decodeLoosely(url.pathname + url.search), key)) {
		throw callerError('bad-request', 'the key must not appear in the URL');
	}
};

/** Refuses a path that a service might read as a path of another route. */
export const refuseAmbiguousPath = (url: URL): void => {
	if (ambiguousPathPattern.test(url.pathname)) {
		throw callerError('bad-request', 'the path must not contain empty segments or encoded separators');
	}
};

/** Refuses a body that contains the caller's key, because the endpoint would see it. */
export const refuseKeyInBody = (body: Buffer, key: string | undefined): void => {
	if (key !== undefined && key.length >= minSearchedKeyLength && body.includes(key)) {
		throw callerError('bad-request', 'the key must not appear in the body');
	}
};

const containsKey = (text: string, key: string | undefined): boolean =>
	key !== undefined && key.length >= minSearchedKeyLength && text.includes(key);

const decodeLoosely = (text: string): string => {
	try {
		return text + decodeURIComponent(text);
	} catch {
		return text;
	}
};

/** Returns the key of `Authorization: Bearer <key>`. */
export const bearerKey = (authorization: string | undefined): string | undefined =>
	/^bearer +([\u0021-\u007E]+) *$/i.exec(authorization ?? '')?.[1];
