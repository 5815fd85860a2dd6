/**
 * The duties of one entry at a time: reports of usage and orders of roles, both under one lease whose epoch is the fence.
 */
import type {Clock, ForwardService, MakeId} from '@hawthorncleat/core';
import {runLease, type Lease} from '@hawthorncleat/store';
import type {DecisionLog} from './decision-log.js';
import type {EndpointPool} from './endpoint-pool.js';
import type {ForwardMetrics} from './metrics.js';
import type {ModelLoad} from './model-load.js';
import type {Platform} from './ports.js';
import type {RoleChange} from './role-changes.js';
import {runRoleDuty} from './role-duty.js';
import type {CorrectedClock} from './corrected-clock.js';
import type {UsageCounter} from './usage-counter.js';
import {runUsageDuty, usageDuty} from './usage-duty.js';

/** Another entry takes over within the time to live; three renewals fit into it. */
const durations = {leaseTtlMs: 4000, leaseRenewMs: 1300, leaseMarginMs: 700};

export type DutiesOptions = {
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly holder: string;
	readonly usageWindowMs: number;
	readonly platform: Platform;
	readonly pool: EndpointPool;
	readonly load: ModelLoad;
	readonly correctedClock: CorrectedClock;
	readonly usage: UsageCounter;
	readonly log: DecisionLog;
	readonly metrics: ForwardMetrics;
	readonly services: () => readonly ForwardService[];
	/** Tells of the engines whose role this entry is changing. */
	readonly onPendingRoleChanges: (changes: readonly RoleChange[]) => void;
};

const reportUsage = async (options: DutiesOptions, lease: Lease, signal: AbortSignal): Promise<void> => {
	const {platform, makeId, holder, usageWindowMs: windowMs, correctedClock: time, usage, log, metrics} = options;
	await runUsageDuty({
		rows: platform.rows,
		table: platform.table,
		calls: platform.duties,
		holder,
		makeId,
		windowMs,
		nowMs: () => time.nowMs(),
		countsByProcess: window => usage.countsByProcess(window),
		onReport(report) {
			metrics.countUsageReport(report.accepted);
			log.write('usage', report);
		},
		onError(error) {
			log.writeError('reporting usage', error);
		},
	}, lease, signal);
};

const orderRoles = async (options: DutiesOptions, lease: () => Lease | undefined, signal: AbortSignal): Promise<void> => {
	const {clock, platform, pool, load, holder, services, log, onPendingRoleChanges: onChanging} = options;
	await runRoleDuty({
		clock,
		wire: platform.wire,
		pool,
		load,
		holder,
		services,
		lease,
		onOrder(order) {
			log.write('role', order);
		},
		onPendingChanges: onChanging,
	}, signal);
};

/** Takes the lease whenever it is free and runs the duties while it is held. */
export const runDuties = async (options: DutiesOptions, signal: AbortSignal): Promise<void> => {
	const {clock, makeId, holder, platform, log} = options;
	let current: Lease | undefined;
	const holding = runLease({
		duty: usageDuty,
		holder,
		table: platform.table,
		clock,
		makeId,
		durations,
		async onHeld(lease, held) {
			log.write('lease', {duty: usageDuty, held: true, epoch: lease.epoch});
			current = lease;
			await reportUsage(options, lease, held);
			current = undefined;
			log.write('lease', {duty: usageDuty, held: false, epoch: lease.epoch});
		},
		onError(error) {
			log.writeError('a duty', error);
		},
	}, signal);
	await Promise.all([holding, orderRoles(options, () => current?.isHeld() ? current : undefined, signal)]);
};
