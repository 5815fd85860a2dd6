/**
 * Free TCP ports on loopback for `dev`.
 */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** The address that everything of `dev` listens on. */
export const loopback = '127.0.0.1';

const probePort = async (port: number): Promise<number> => {
	const server = createServer();
	server.listen(port, loopback);
	await once(server, 'listening');
	const {port: found} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return found;
};

/** Returns the preferred port if it is free, else any free one. 0 prefers none. */
export const findFreePort = async (preferred = 0): Promise<number> => {
	try {
		return await probePort(preferred);
	} catch (error) {
		if (preferred === 0) {
			throw error;
		}

		return probePort(0);
	}
};
