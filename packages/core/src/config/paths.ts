/**
 * Matching of request paths against the path prefixes of plain-service routes.
 */

/** A prefix without its trailing slash, so that `/a` and `/a/` are the same route. */
export const normalizePrefix = (path: string): string => path.replace(/\/+$/, '');

const decodeSegment = (segment: string): string | undefined => {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
};

const isPlainSegment = (segment: string): boolean => {
	const decoded = decodeSegment(segment);
	return decoded !== undefined && decoded !== '.' && decoded !== '..' && !/[/\\]/.test(decoded);
};

/**
 * Whether the path means the same at this system and at an endpoint that decodes and normalizes it. Otherwise
 * `/open/../orders` would pass as an open route and arrive as an order.
 */
export const isUnambiguousPath = (path: string): boolean =>
	path.startsWith('/') && path.slice(1).split('/').every(segment => isPlainSegment(segment));

/** All prefixes of a path at segment boundaries, the longest first, in normalized form. */
export const prefixesOf = (path: string): string[] => {
	const segments = normalizePrefix(path).split('/');
	return segments.map((_, index) => segments.slice(0, segments.length - index).join('/'));
};
