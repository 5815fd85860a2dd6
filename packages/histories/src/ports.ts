/**
 * Ports for the processes of a fleet.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';

/** The address of everything in a fleet. */
export const loopback = '127.0.0.1';

// Below the kernel's ephemeral range, so that no outgoing connection takes a port between the probe and its use.
const firstPort = 15_000;
const lastPort = 31_999;
const maxProbes = 100;

const isFree = async (port: number): Promise<boolean> => {
	const server = createServer();
	server.listen({host: loopback, port, exclusive: true});
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
};

const given = new Set<number>();

/**
 * Finds a port that is free and that this process has not given out before. The choice is not part of the seed, because
 * test files that run at the same time must choose differently.
 */
export const findFreePort = async (): Promise<number> => {
	for (let probe = 0; probe < maxProbes; probe += 1) {
		const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort + 1));
		if (!given.has(port) && await isFree(port)) {
			given.add(port);
			return port;
		}
	}

	throw new Error(`no free port from ${firstPort} to ${lastPort} after ${maxProbes} probes`);
};
