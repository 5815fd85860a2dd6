/**
 * What has already arrived at this process. After a pause of the process its timers run before it reads its sockets, so a limit of time may seem to have
 * passed although the awaited bytes are there.
 */

/** Resolves once all connections and data that had already arrived at this process have been accepted and read. */
export const waitForPendingInput = async (): Promise<void> => new Promise(resolve => {
	setImmediate(() => {
		setImmediate(resolve);
	});
});
