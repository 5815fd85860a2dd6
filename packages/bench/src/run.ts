/**
 * One run: a strategy on a workload of a deployment with one seed, and what is measured of it.
 */
import {defaultLatencyTarget, meetsTarget} from '@hawthorncleat/core';
import {quantile} from 'simple-statistics';
import type {Deployment} from './deployments.js';
import {
	engineSeconds, generateRequests, phaseAt, runMs,
} from './generate.js';
import {Fleet} from './sim/fleet.js';
import type {Recorder} from './sim/fleet-options.js';
import type {SimRequest} from './sim/job.js';
import {createRandom} from './sim/random.js';
import {Scheduler} from './sim/scheduler.js';
import type {Strategy} from './strategies/strategy.js';
import {accountWeights, type Workload} from './workloads.js';

/** Width of a point in the plots. */
export const bucketMs = 10_000;
// Answers that are still under way this long after the last arrival are late in any case.
const drainMs = 60_000;

/** Goodput: requests whose answers were on time, and their prompt and output tokens. */
export type Goodput = {requests: number; tokens: number};

/** Requests and work of one account in the measured interval; work is in engine-seconds. */
export type AccountResult = {
	readonly weight: number;
	offered: number;
	onTime: number;
	offeredWork: number;
	onTimeWork: number;
};

export type RunResult = {
	readonly offered: Goodput;
	readonly onTime: Goodput;
	readonly byPhase: readonly Goodput[];
	/** On-time requests by time of arrival, in buckets of 10 s. */
	readonly onTimeByBucket: readonly number[];
	readonly refused: number;
	/** Time from arrival to refusal, median and 99th percentile. */
	readonly refusalMs: {readonly median: number; readonly p99: number};
	readonly late: number;
	readonly lost: number;
	readonly accounts: readonly AccountResult[];
	readonly roleChangesMs: readonly number[];
	readonly endpointHours: number;
	readonly desk: {readonly offered: number; readonly onTime: number};
};

const createGoodput = (): Goodput => ({requests: 0, tokens: 0});

const add = (goodput: Goodput, request: SimRequest): void => {
	goodput.requests++;
	goodput.tokens += request.promptTokens + request.outputTokens;
};

/** Collects what happens to the requests of a run. */
class Measurement implements Recorder {
	readonly offered = createGoodput();
	readonly onTime = createGoodput();
	readonly byPhase: Goodput[];
	readonly onTimeByBucket: number[];
	readonly accounts: AccountResult[];
	readonly refusalMs: number[] = [];
	readonly roleChangesMs: number[] = [];
	readonly desk = {offered: 0, onTime: 0};
	late = 0;
	lostRequests = 0;

	constructor(private readonly workload: Workload) {
		this.byPhase = workload.phases.map(() => createGoodput());
		this.onTimeByBucket = Array.from({length: Math.ceil(runMs(workload) / bucketMs)}, () => 0);
		this.accounts = accountWeights.map(weight => ({
			weight, offered: 0, onTime: 0, offeredWork: 0, onTimeWork: 0,
		}));
	}

	arrived(request: SimRequest): void {
		if (request.kind === 'desk') {
			this.desk.offered++;
			return;
		}

		add(this.offered, request);
		if (this.#isMeasured(request)) {
			this.accounts[request.account]!.offered++;
			this.accounts[request.account]!.offeredWork += engineSeconds(request.promptTokens, request.outputTokens);
		}
	}

	refused(request: SimRequest, nowMs: number): void {
		if (request.kind === 'model') {
			this.refusalMs.push(nowMs - request.arrivedMs);
		}
	}

	lost(): void {
		this.lostRequests++;
	}

	finished(request: SimRequest, firstTokenAtMs: number, lastTokenAtMs: number): void {
		const {promptTokens, outputTokens, arrivedMs} = request;
		const answer = {
			promptTokens, outputTokens, firstTokenMs: firstTokenAtMs - arrivedMs, lastTokenMs: lastTokenAtMs - arrivedMs,
		};
		const onTime = meetsTarget(defaultLatencyTarget, answer);
		if (request.kind === 'desk') {
			this.desk.onTime += onTime ? 1 : 0;
		} else if (onTime) {
			this.#addOnTime(request);
		} else {
			this.late++;
		}
	}

	roleChanged(nowMs: number): void {
		this.roleChangesMs.push(nowMs);
	}

	/** The accounts are compared during the burst where there is one, else over the whole run. */
	#isMeasured({arrivedMs}: SimRequest): boolean {
		const {burst} = this.workload;
		return !burst || (arrivedMs >= burst.fromMs && arrivedMs < burst.toMs);
	}

	#addOnTime(request: SimRequest): void {
		add(this.onTime, request);
		add(this.byPhase[phaseAt(this.workload, request.arrivedMs)]!, request);
		this.onTimeByBucket[Math.floor(request.arrivedMs / bucketMs)]!++;
		if (this.#isMeasured(request)) {
			this.accounts[request.account]!.onTime++;
			this.accounts[request.account]!.onTimeWork += engineSeconds(request.promptTokens, request.outputTokens);
		}
	}
}

const toResult = (measured: Measurement, endpointHours: number): RunResult => ({
	offered: measured.offered,
	onTime: measured.onTime,
	byPhase: measured.byPhase,
	onTimeByBucket: measured.onTimeByBucket,
	refused: measured.refusalMs.length,
	refusalMs: {
		median: measured.refusalMs.length === 0 ? 0 : quantile(measured.refusalMs, 0.5),
		p99: measured.refusalMs.length === 0 ? 0 : quantile(measured.refusalMs, 0.99),
	},
	late: measured.late,
	lost: measured.lostRequests,
	accounts: measured.accounts,
	roleChangesMs: measured.roleChangesMs,
	endpointHours,
	desk: measured.desk,
});

/** Runs a strategy on a workload. */
export const runOnce = (strategy: Strategy, workload: Workload, deployment: Deployment, run: number): RunResult => {
	const seed = workload.seed + run;
	const scheduler = new Scheduler();
	const measured = new Measurement(workload);
	const fleet = new Fleet({
		deployment, strategy, faults: workload.faults, scheduler, random: createRandom(seed, 3), recorder: measured, target: defaultLatencyTarget,
	});
	for (const request of generateRequests(workload, deployment, seed)) {
		scheduler.after(request.arrivedMs, () => {
			measured.arrived(request);
			fleet.submit(request);
		});
	}

	scheduler.runUntil(runMs(workload) + drainMs);
	return toResult(measured, fleet.engines.length * runMs(workload) / 3_600_000);
};
