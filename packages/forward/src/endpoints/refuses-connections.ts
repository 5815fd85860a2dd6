/**
 * Tests whether a process still listens at the address of an endpoint.
 */
import {connect} from 'node:net';
import type {RegisteredEndpoint} from '@hawthorncleat/core';

/** Data centres are milliseconds apart. A host that does not answer within this time has not refused the connection. */
const checkTimeoutMs = 200;

/** Opens and closes a connection. Resolves to false if it opens, or if there is no answer. */
export const refusesConnections = async ({address: host, port}: RegisteredEndpoint): Promise<boolean> => new Promise(resolve => {
	const socket = connect({host, port});
	const finish = (isRefused: boolean): void => {
		socket.destroy();
		resolve(isRefused);
	};

	socket.setTimeout(checkTimeoutMs, () => {
		finish(false);
	});
	socket.once('connect', () => {
		finish(false);
	});
	socket.once('error', (err: NodeJS.ErrnoException) => {
		finish(err.code === 'ECONNREFUSED');
	});
});
