import {
	brandAs, selectEndpoint, type EndpointId, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {
	createManualClock, createSeededRandom, describe, it,
} from '@hawthorncleat/test-kit';
import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import {BackoffRecorder} from '../backoff-recorder.js';
import {EndpointPool, type PooledEndpoint} from '../endpoint-pool.js';
import type {AnswerHead} from '../../ports.js';

const ids = ['i-a', 'i-b', 'i-c'];
/** Requests that are under way when an endpoint answers may still reach it for this long. */
const toleranceMs = 500;
const allowedRequests = 2;
/** The longest extension of a backoff by an entry, and the longest ramp. */
const maxReturnMs = 4000;

/** What happens next. A request and its answer travel for less than the tolerance together; what waits for a connection may wait for longer. */
type Step
	= | {readonly kind: 'requests'; readonly count: number; readonly waitMs: number; readonly travelMs: number}
		| {readonly kind: 'refuse'; readonly endpoint: number; readonly retryAfterMs: number; readonly forMs: number}
		| {readonly kind: 'restart' | 'reregister' | 'change-role'; readonly endpoint: number}
		| {readonly kind: 'pass'; readonly ms: number};

const endpointIndex = fc.nat({max: ids.length - 1});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('requests' as const), count: fc.integer({min: 1, max: 12}), waitMs: fc.integer({min: 0, max: 3000}), travelMs: fc.integer({min: 1, max: 200}),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('refuse' as const), endpoint: endpointIndex, retryAfterMs: fc.integer({min: 1, max: 5000}), forMs: fc.integer({min: 1, max: 2000}),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'reregister' as const, 'change-role' as const), endpoint: endpointIndex})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 1, max: 1500})})},
);

type Process = {
	registration: RegisteredEndpoint;
	/** It answers 503 with this delay until then. */
	refusesUntilMs: number;
	retryAfterMs: number;
	readonly arrivalsMs: number[];
	readonly refusals: Array<{readonly atMs: number; readonly retryAfterMs: number}>;
};

/** One entry whose requests travel and wait for connections, and endpoints that judge what reaches them. */
class World {
	readonly clock = createManualClock();
	readonly #processes: Process[] = [];
	readonly #ended: Process[] = [];
	readonly #events: Array<{readonly atMs: number; run(): void}> = [];
	readonly #pool = new EndpointPool({clock: this.clock, entries: () => 1, serviceOf: () => undefined});
	readonly #recorder: BackoffRecorder;
	readonly #random: () => number;

	constructor(random: () => number) {
		this.#random = random;
		this.#recorder = new BackoffRecorder({
			clock: this.clock, random, pool: this.#pool, log: {write: () => undefined}, metrics: {countBackoff: () => undefined, countInvalidRetryAfter: () => undefined},
		});
		for (const id of ids) {
			this.#start({
				id: brandAs<EndpointId>(id), service: 's', address: '127.0.0.1', port: 9, dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, heartbeat: 1,
			});
		}
	}

	run(step: Step): void {
		switch (step.kind) {
			case 'requests': {
				for (let index = 0; index < step.count; index += 1) {
					this.#place(step);
				}

				break;
			}

			case 'refuse': {
				Object.assign(this.#processes[step.endpoint]!, {retryAfterMs: step.retryAfterMs, refusesUntilMs: this.clock.nowMs() + step.forMs});
				break;
			}

			case 'pass': {
				this.pass(step.ms);
				break;
			}

			case 'restart':
			case 'reregister':
			case 'change-role': {
				this.#change(step.endpoint, step.kind);
				break;
			}
		}
	}

	/** Lets time pass; what is under way arrives in its order. */
	pass(ms: number): void {
		const endMs = this.clock.nowMs() + ms;
		for (;;) {
			const next = this.#events.toSorted((a, b) => a.atMs - b.atMs)[0];
			if (!next || next.atMs > endMs) {
				break;
			}

			this.#events.splice(this.#events.indexOf(next), 1);
			this.clock.advance(next.atMs - this.clock.nowMs());
			next.run();
		}

		this.clock.advance(endMs - this.clock.nowMs());
	}

	/** Processes that got more requests than they may within a time that they stated. */
	findViolations(): string[] {
		return [...this.#processes, ...this.#ended].flatMap(({registration, arrivalsMs, refusals}) => refusals
			.filter(({atMs, retryAfterMs}) => arrivalsMs.filter(arrivedMs => arrivedMs > atMs + toleranceMs && arrivedMs < atMs + retryAfterMs).length > allowedRequests)
			.map(({atMs, retryAfterMs}) => `${registration.id} from ${atMs} for ${retryAfterMs}`));
	}

	/** Sends requests one after the other once all times have passed, and returns the endpoints that none has reached. */
	findUnreached(): string[] {
		for (const process of this.#processes) {
			process.refusesUntilMs = 0;
		}

		this.pass(5000 + maxReturnMs);
		const startMs = this.clock.nowMs();
		for (let request = 0; request < 60; request += 1) {
			this.#place({waitMs: 0, travelMs: 1});
		}

		this.pass(1000);
		return this.#processes.filter(({arrivalsMs}) => !arrivalsMs.some(atMs => atMs >= startMs)).map(({registration}) => registration.id);
	}

	#start(registration: RegisteredEndpoint): Process {
		const process: Process = {
			registration, refusesUntilMs: 0, retryAfterMs: 0, arrivalsMs: [], refusals: [],
		};
		this.#processes.push(process);
		this.#pool.put(registration);
		return process;
	}

	#change(endpoint: number, kind: 'change-role' | 'reregister' | 'restart'): void {
		const process = this.#processes[endpoint]!;
		const {registration} = process;
		if (kind === 'restart') {
			this.#ended.push(process);
			const started = this.#start({...registration, startedAt: registration.startedAt + 1});
			this.#processes.splice(this.#processes.indexOf(started), 1);
			this.#processes[endpoint] = started;
		} else if (kind === 'reregister') {
			this.#pool.remove(registration.id);
			this.#pool.put(registration);
		} else {
			process.registration = {...registration, role: registration.role === 'decode' ? undefined : 'decode'};
			this.#pool.put(process.registration);
		}
	}

	/** Selects an endpoint for a request, which then waits for a connection, is checked, and travels. */
	#place({waitMs, travelMs}: {readonly waitMs: number; readonly travelMs: number}): void {
		const target = selectEndpoint(this.#pool.ofService('s'), {dataCentre: 'a', excluded: new Set()}, {nowMs: this.clock.nowMs(), random: this.#random}) as PooledEndpoint | undefined;
		if (!target) {
			return;
		}

		target.backoff.recordStart();
		target.running += 1;
		const process = this.#processes.find(({registration}) => registration.id === target.endpoint.id)!;
		this.#after(waitMs, () => {
			if (this.#pool.maySend(target)) {
				this.#after(travelMs, () => {
					this.#arrive(process, target, travelMs);
				});
			} else {
				target.running -= 1;
			}
		});
	}

	#arrive(process: Process, target: PooledEndpoint, travelMs: number): void {
		target.running -= 1;
		const nowMs = this.clock.nowMs();
		process.arrivalsMs.push(nowMs);
		if (nowMs >= process.refusesUntilMs) {
			return;
		}

		const {retryAfterMs} = process;
		process.refusals.push({atMs: nowMs, retryAfterMs});
		this.#after(travelMs, () => {
			this.#recorder.record(target, {retryAfterMs, requestId: 'r'} as AnswerHead);
		});
	}

	#after(ms: number, run: () => void): void {
		this.#events.push({atMs: this.clock.nowMs() + ms, run});
	}
}

const runAll = (steps: readonly Step[], seed: number): World => {
	const world = new World(createSeededRandom(seed));
	for (const step of steps) {
		world.run(step);
	}

	return world;
};

describe('endpoints that turn requests away with a time, in any order with restarts and lost registrations', () => {
	// Guards against a broken BUDGET rule: more than two requests from half a second after the answer to the end of the time.
	it('get at most two requests within it; guards against every way by which requests reach an endpoint that wants none', () => {
		fc.assert(fc.property(fc.array(anyStep, {minLength: 5, maxLength: 60}), fc.nat(), (steps, seed) => {
			const world = runAll(steps, seed);
			world.pass(6000);
			assert.equal(world.findViolations(), []);
		}), {numRuns: 400, seed: 41});
	});

	// Guards against a backoff that never ends, by its spread, its ramp or what is kept of removed endpoints.
	it('get requests again afterwards; guards against endpoints that are lost for good', () => {
		fc.assert(fc.property(fc.array(anyStep, {minLength: 5, maxLength: 60}), fc.nat(), (steps, seed) => {
			assert.equal(runAll(steps, seed).findUnreached(), []);
		}), {numRuns: 200, seed: 42});
	});
});
