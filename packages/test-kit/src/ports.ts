/**
 * Ports for test processes. Each test process owns a range of ports, so that files which run at the same time never
 * give out the same port, and a port stays with its process while a daemon that uses it is restarted.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

/** The address that tests listen on. */
export const loopback = '127.0.0.1';

// Below the kernel's ephemeral range, so that no outgoing connection takes a port between the probe and its use.
const firstPort = 15_000;
const lastPort = 31_999;
// The largest history file starts about 120 listeners.
const rangePorts = 500;

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

/** Takes the first range whose lowest port no other process holds; returns that port. */
const claimRange = async (): Promise<number> => {
	for (let port = firstPort; port + rangePorts - 1 <= lastPort; port += rangePorts) {
		if (await holdPort(port)) {
			return port;
		}
	}

	throw new Error(`every range of ports from ${firstPort} to ${lastPort} is held by another process`);
};

let claimed: Promise<number> | undefined;
let givenPorts = 0;

/** Gives a port that nothing listens on and that no other test process is given while this process runs. */
export const findFreePort = async (): Promise<number> => {
	claimed ??= claimRange();
	const rangeStart = await claimed;
	while (givenPorts < rangePorts - 1) {
		givenPorts += 1;
		const port = rangeStart + givenPorts;
		if (await isFree(port)) {
			return port;
		}
	}

	throw new Error(`all ${rangePorts - 1} ports from ${rangeStart + 1} have been given out or are in use`);
};

/** Lets all ports be given out again, once everything that used them has ended. */
export const resetPortAllocation = (): void => {
	givenPorts = 0;
};
