import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {AgentSettings, EntrySettings} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {CommandContext} from '../context.js';
import type {RunningDaemon, StartDaemon} from '../daemons/start.js';
import type {StartStandIn} from '../daemons/stand-ins.js';
import {exitCodes} from '../exit-codes.js';
import {main} from '../main.js';

/** Serves until the signal aborts, answers everything with 200, and notes the requests. */
const serve = async (port: number, requests: string[], signal: AbortSignal): Promise<{port: number; url: string}> => {
	const server = createServer((req, res) => {
		requests.push(`${req.method} ${req.url}`);
		req.resume();
		res.end('{"version": 1, "confirmed": true}');
	});
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	const {port: bound} = server.address() as AddressInfo;
	return {port: bound, url: `http://127.0.0.1:${bound}`};
};

/** A daemon without work: it closes when it has drained or its signal aborts. */
const createIdleDaemon = (signal: AbortSignal): RunningDaemon => {
	const drained = new AbortController();
	const closed = once(AbortSignal.any([signal, drained.signal]), 'abort').then(() => undefined);
	return {
		closed,
		async drain() {
			drained.abort();
		},
	};
};

describe('dev', () => {
	it('registers every host, applies the example and prints a curl line that works; guards against npm start without a usable line', async () => {
		const requests: string[] = [];
		const served: string[] = [];
		const printed: string[] = [];
		let stop = (): void => undefined;
		const standIn: StartStandIn = async (_, signal) => serve(0, requests, signal);
		const agent: StartDaemon<AgentSettings> = async ({endpointKind, serves}, _, signal) => {
			served.push(`${endpointKind} ${serves}`);
			return createIdleDaemon(signal);
		};

		const entry: StartDaemon<EntrySettings> = async ({callerPort, adminPort}, _, signal) => {
			await serve(callerPort, requests, signal);
			await serve(adminPort, requests, signal);
			return createIdleDaemon(signal);
		};

		const context: CommandContext = {
			env: {},
			start: {entry, agent, standIns: {startPlatform: standIn, startEngine: standIn, startPlainService: standIn}},
			print(line) {
				printed.push(line);
			},
			printError() {
				// The log is not part of this test.
			},
			readText: async () => '',
			makeKey: () => 'hck_test',
			onStopSignal(listener) {
				stop = listener;
			},
			exitNow() {
				// Tests stay alive.
			},
		};
		const ended = main(['dev', '--caller-port', '0'], context);
		while (!printed.some(line => line.startsWith('curl '))) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		stop();
		assert.equal(served, ['engine restock', 'engine restock', 'service order-desk']);
		assert.equal(requests, [
			'PUT /hosts/host-engine-1',
			'PUT /hosts/host-engine-2',
			'PUT /hosts/host-order-desk-1',
			'PUT /hosts/entry-1',
			'POST /admin/config/apply',
			'POST /v1/completions',
		]);
		assert.match(printed.at(-1) ?? '', /^curl -N http:\/\/127\.0\.0\.1:\d+\/v1\/completions .*hck_test.*"stream":true}'$/);
		assert.is(await Promise.race([ended, new Promise(resolve => {
			setTimeout(resolve, 2000, 'hangs');
		})]), exitCodes.done);
	});
});
