/** Resolves when the signal aborts, or at once if it has. */
export const waitUntilAborted = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	if (signal.aborted) {
		resolve();
	}

	signal.addEventListener('abort', () => {
		resolve();
	}, {once: true});
});
