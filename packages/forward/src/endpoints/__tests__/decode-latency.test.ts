import {once} from 'node:events';
import {createServer, ServerResponse, type IncomingMessage} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, RequestArrivals, type EndpointId, type RequestId,
} from '@hawthorncleat/core';
import {describe, it, loopback} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {runAttempt} from '../../requests/run-attempt.js';
import {AttemptRace, RunningAttempt} from '../../requests/attempt-race.js';
import {CallerExchange} from '../../callers/caller-exchange.js';
import {EndpointPool} from '../endpoint-pool.js';
import type {AdmittedRequest} from '../../requests/admitted-request.js';
import type {ForwardDeps} from '../../requests/forward-deps.js';
import {LoadTracker} from '../load-tracker.js';
import type {WireFormat} from '../../ports.js';
import {StreamRelay} from '../../streams/stream-relay.js';

const clock = {nowMs: () => performance.now()};
const service = {name: 'models', maxConnections: 10, engine: {kvTokens: 100_000}};
const eventMs = 4;

/** Starts an engine that streams as many events as the path names, one every few milliseconds. */
const startEngine = async (): Promise<{port: number; stop: () => void}> => {
	const server = createServer((req, res) => {
		void (async () => {
			res.writeHead(200);
			for (let event = 1; event <= Number(req.url!.slice(1)); event += 1) {
				res.write(`id: ${event}\ndata: x\n\n`);
				await sleep(eventMs);
			}

			res.end();
		})();
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
};

const wire = {
	writeRequest: () => ({}),
	readAnswer: (status: number) => ({
		status, isNotRun: false, isFromOtherEndpoint: false, isSealed: true, headers: {}, requestId: 'r',
	}),
} as unknown as WireFormat;

const createDeps = (port: number): ForwardDeps => {
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => service});
	pool.put({
		id: brandAs<EndpointId>('i-1'),
		service: 'models',
		address: loopback,
		port,
		dataCentre: 'a',
		slots: 10,
		isLeaving: false,
		role: 'decode',
		startedAt: 1,
		heartbeat: 1,
	});
	return {
		clock, wire, pool, load: new LoadTracker(clock, pool), onRun: () => undefined,
	} as unknown as ForwardDeps;
};

/** Runs one attempt whose caller guessed `guessedTokens` output tokens and whose stream has `events` events. */
const stream = async (deps: ForwardDeps, events: number, guessedTokens: number, limitMs = 5000): Promise<void> => {
	const exchange = new CallerExchange(new ServerResponse({method: 'GET', socket: new Socket()} as IncomingMessage), {
		clock, stopLimit: new AbortController().signal, isStopping: () => false, hasLaterRequest: () => false,
	});
	exchange.setTimeLimit(limitMs);
	const admitted = {
		request: {
			id: brandAs<RequestId>('r'), method: 'POST', target: `/${events}`, promptTokens: 10, guessedTokens, maxOutputTokens: 10_000, segments: [], headers: {},
		},
		body: undefined,
		route: {
			name: 'note', kind: 'stream', isResumable: true, latencyTargetMs: 1000, maxGapMs: 1000,
		},
		service,
		account: undefined,
		exchange,
		outputTokens: guessedTokens,
	} as unknown as AdmittedRequest;
	const target = deps.pool.get('i-1')!;
	const placement = {
		target, level: 3, decodeLevel: 3, uncachedTokens: 10, prefillWaitMs: 1,
	};
	const request = {relay: new StreamRelay(exchange, undefined), arrivals: new RequestArrivals()};
	const control = new RunningAttempt(placement, new AttemptRace(exchange.signal, {isRepeatable: true, maxEndpoints: 1}));
	await runAttempt(deps, admitted, placement, {request, control, extraCalls: 0});
};

/** Estimated decode latency of an engine after answers whose guessed lengths are too high by these factors. */
const measureDecodeLatency = async (guessFactors: readonly number[]): Promise<number> => {
	const engine = await startEngine();
	const deps = createDeps(engine.port);
	for (let round = 0; round < 6; round += 1) {
		await Promise.all(guessFactors.map(async guessFactor => stream(deps, 20, 200 * guessFactor)));
	}

	const {decodeLatency: decode} = deps.pool.get('i-1')!;
	await deps.pool.destroy();
	engine.stop();
	return decode.msPerToken(0);
};

describe('the estimated decode latency of an engine', () => {
	it('does not depend on the errors of guessed lengths; guards against a slow engine taken for a fast one because callers guess too high', async () => {
		const [exact, varied] = [await measureDecodeLatency([1, 1, 1, 1, 1]), await measureDecodeLatency([0.3, 0.6, 1, 3, 6])];
		assert.ok(Math.abs((varied / exact) - 1) < 0.25, `${exact} and ${varied} ms`);
	});
});
