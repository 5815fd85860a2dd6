/**
 * Rule `slot` of models/engine-orders.pml: the exclusive bind of the slot port, by which two agents on one host exclude each other: a paused process keeps the
 * port, and the kernel releases it when the process ends.
 */
import {createServer, type Server} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';

const retryIntervalMs = 500;
const slotAddress = '127.0.0.1';

const tryBind = async (port: number): Promise<Server | undefined> => {
	const server = createServer(socket => {
		socket.destroy();
	});
	server.listen({host: slotAddress, port, exclusive: true});
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
};

/** Waits until the port is held; it is released when `signal` aborts. Port 0 turns the exclusion off. */
export const holdSlot = async (port: number, signal: AbortSignal, onWaiting: () => void): Promise<void> => {
	if (port === 0) {
		return;
	}

	for (let attempt = 0; !signal.aborted; attempt += 1) {
		const server = await tryBind(port);
		if (server) {
			releaseOnAbort(server, signal);
			return;
		}

		if (attempt === 0) {
			onWaiting();
		}

		await delay(retryIntervalMs, undefined, {signal}).catch(() => undefined);
	}
};

const releaseOnAbort = (server: Server, signal: AbortSignal): void => {
	const release = (): void => {
		server.close();
	};

	if (signal.aborted) {
		release();
		return;
	}

	signal.addEventListener('abort', release, {once: true});
};
