/**
 * Free loopback ports and waiting.
 */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

export const loopback = '127.0.0.1';

/** Below the ports that the system gives to outgoing connections, so that none of them takes the port while a process is down. */
const firstPort = 12_000;
const portCount = 20_000;

const isFree = async port => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, loopback, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

export const findFreePort = async () => {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (await isFree(port)) {
			return port;
		}
	}
};

/** Waits until a condition holds; rejects after the limit. */
export const waitUntil = async (condition, what, limitMs = 20_000) => {
	const endMs = performance.now() + limitMs;
	while (!condition()) {
		if (performance.now() > endMs) {
			throw new Error(`not within ${limitMs} ms: ${what}`);
		}

		await sleep(10);
	}
};
