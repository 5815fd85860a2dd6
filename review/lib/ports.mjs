/**
 * Free loopback ports and waiting.
 */
import {createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

export const loopback = '127.0.0.1';

export const findFreePort = async () => {
	const server = createServer();
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
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
