/**
 * Port allocation for test processes. Each test process claims a range of ports, so that test files which run at the same
 * time never use the same port, and a port stays reserved for its process while a daemon that uses it restarts.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** The address that tests listen on. */
export const loopback = '127.0.0.1';

// The ports are below the kernel's ephemeral range, so that no outgoing connection takes a port between the probe and its use.
const lowestPort = 15_000;
const highestPort = 31_999;
// The test file with the most listeners starts about 120.
const portsPerRange = 500;

/** Listens on a port; undefined if it is in use. */
const tryListen = async (port: number): Promise<Server | undefined> => {
	const server = createServer(socket => {
		socket.destroy();
	});
	server.listen({host: loopback, port, exclusive: true});
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
};

const isFree = async (port: number): Promise<boolean> => {
	const server = await tryListen(port);
	if (!server) {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
};

/** Holds a port until this process ends. */
const holdPort = async (port: number): Promise<boolean> => {
	const server = await tryListen(port);
	server?.unref();
	return server !== undefined;
};

/**
 * Claims the first range whose lowest port no other process holds, by listening on that port until this process ends.
 * Returns the lowest port.
 */
const claimRange = async (): Promise<number> => {
	for (let port = lowestPort; port + portsPerRange - 1 <= highestPort; port += portsPerRange) {
		if (await holdPort(port)) {
			return port;
		}
	}

	throw new Error(`every range of ports from ${lowestPort} to ${highestPort} is held by another process`);
};

let claimedRangeStart: Promise<number> | undefined;
let allocatedPorts = 0;

/** Allocates a port on which nothing listens and which no other test process gets while this process runs. */
export const findFreePort = async (): Promise<number> => {
	claimedRangeStart ??= claimRange();
	const rangeStart = await claimedRangeStart;
	while (allocatedPorts < portsPerRange - 1) {
		allocatedPorts += 1;
		const port = rangeStart + allocatedPorts;
		if (await isFree(port)) {
			return port;
		}
	}

	throw new Error(`all ${portsPerRange - 1} ports from ${rangeStart + 1} have been allocated or are in use`);
};

/** Makes all ports of the range available again. Call it only when everything that used them has ended. */
export const resetPortAllocation = (): void => {
	allocatedPorts = 0;
};
