/**
 * A TCP relay in front of the platform that counts the bytes and requests of one daemon.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {loopback} from '@hawthorncleat/test-kit';
import {countRequests, noPlatformCounts, type PlatformCounts} from './platform-traffic.js';

/** Totals since the relay was opened. */
export type RelayTotals = {readonly counts: PlatformCounts; readonly bytes: number};

export type CountingRelay = {readonly url: string; totals(): RelayTotals};

const join = (near: Socket, far: Socket, onChunk: (chunk: Uint8Array) => void): void => {
	near.on('data', onChunk);
	near.pipe(far);
	near.on('error', () => {
		far.destroy();
	});
	near.on('close', () => {
		far.destroy();
	});
};

/** Opens a relay to a URL until the signal aborts. */
export const openCountingRelay = async (targetUrl: string, signal: AbortSignal): Promise<CountingRelay> => {
	let totals: RelayTotals = {counts: noPlatformCounts, bytes: 0};
	const port = Number(new URL(targetUrl).port);
	const server = createServer({noDelay: true}, near => {
		const far = connect({host: loopback, port, noDelay: true});
		join(near, far, chunk => {
			const text = Buffer.from(chunk).toString('latin1');
			totals = {counts: countRequests(totals.counts, text), bytes: totals.bytes + chunk.length};
		});
		join(far, near, chunk => {
			totals = {...totals, bytes: totals.bytes + chunk.length};
		});
		signal.addEventListener('abort', () => {
			near.destroy();
			far.destroy();
		}, {once: true});
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	signal.addEventListener('abort', () => {
		server.close();
	}, {once: true});
	return {url: `http://${loopback}:${(server.address() as AddressInfo).port}`, totals: () => totals};
};
