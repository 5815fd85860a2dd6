/**
 * Functions to match request paths with the path prefixes of plain-service routes.
 */

/** Removes trailing slashes, so that `/a` and `/a/` are the same prefix. */
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
 * Whether this system and an endpoint that decodes and normalizes the path interpret it in the same way. Otherwise
 * `/open/../orders` would match an open route here and reach `/orders` at the endpoint.
 */
export const isUnambiguousPath = (path: string): boolean =>
	path.startsWith('/') && path.slice(1).split('/').every(segment => isPlainSegment(segment));

/** Returns all normalized prefixes of a path at segment boundaries, the longest first. */
export const prefixesOf = (path: string): string[] => {
	const segments = normalizePrefix(path).split('/');
	return segments.map((_, index) => segments.slice(0, segments.length - index).join('/'));
};
