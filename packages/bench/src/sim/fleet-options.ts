/**
 * What a simulated fleet is built from, and what it reports to.
 */
import type {Random, LatencyTarget} from '@hawthorncleat/core';
import type {Deployment} from '../deployments.js';
import type {Strategy} from '../strategies/strategy.js';
import type {Faults} from '../workloads.js';
import type {SimRequest} from './job.js';
import type {Scheduler} from './scheduler.js';

/** What a run records. */
export type Recorder = {
	refused(request: SimRequest, nowMs: number): void;
	lost(request: SimRequest): void;
	finished(request: SimRequest, firstTokenMs: number, lastTokenMs: number): void;
	roleChanged(nowMs: number): void;
};

export type FleetOptions = {
	readonly deployment: Deployment;
	readonly strategy: Strategy;
	readonly faults: Faults;
	readonly scheduler: Scheduler;
	readonly random: Random;
	readonly recorder: Recorder;
	readonly target: LatencyTarget;
};
