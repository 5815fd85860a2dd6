/**
 * Tells connections that were never opened from those that broke. Only the former prove that nothing was sent.
 */

const neverConnectedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** The code of an error of the network or the HTTP client; empty if it has none. */
export const readErrorCode = (error: unknown): string => {
	const {code, cause} = (error ?? {}) as {code?: unknown; cause?: unknown};
	if (typeof code === 'string') {
		return code;
	}

	return cause === undefined ? '' : readErrorCode(cause);
};

/** Whether the connection was refused or could not be opened, so that no byte reached the other side. */
export const isNeverConnected = (error: unknown): boolean => neverConnectedCodes.has(readErrorCode(error));
