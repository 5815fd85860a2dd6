/**
 * Runs the duties that one entry at a time has: usage reports and role orders. Both are held under one lease, and its epoch is
 * the fencing token of their calls.
 */
import type {
	Clock, ForwardService, MakeId, Random,
} from '@hawthorncleat/core';
import {runLease, type Lease} from '@hawthorncleat/store';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {AnswerListener} from '../endpoints/endpoint-answer.js';
import type {EndpointPool} from '../endpoints/endpoint-pool.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {LoadTracker} from '../endpoints/load-tracker.js';
import type {Platform} from '../ports.js';
import type {RoleChange} from '../roles/role-changes.js';
import {RoleDuty} from '../roles/role-duty.js';
import type {Supervise} from '../utils/supervisor.js';
import type {CorrectedClock} from '../store/corrected-clock.js';
import type {UsageCounter} from '../usage/usage-counter.js';
import {runUsageDuty, usageDutyName, type UsageProgress} from '../usage/usage-duty.js';

/** If the holder fails, another entry takes over within the time to live. Three renewals fit into it. */
export const leaseDurations = {leaseTtlMs: 4000, leaseRenewMs: 1300, leaseMarginMs: 700};
/** Up to this number each entry reads the lease as often as its holder renews it. */
const frequentReaders = 4;
/** A takeover takes the time to live and the pause of the entry that happens to read first, which is short among many. */
const maxPauseFactor = 4;
/** Entries that have started together must not read at the same moments. */
const pauseJitter = 0.5;

/** Pause between two reads of a lease that another entry holds, by the number of live entries: their reads are rate-limited together and billed. */
export const leaseWatchPauseMs = (entries: number, random: Random): number => {
	const factor = Math.min(maxPauseFactor, Math.max(1, entries / frequentReaders));
	return leaseDurations.leaseRenewMs * factor * (1 - (pauseJitter / 2) + (pauseJitter * random()));
};

export type DutiesOptions = {
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly random: Random;
	/** Number of live entries, including this one. */
	readonly liveEntries: () => number;
	readonly holder: string;
	readonly usageWindowMs: number;
	readonly platform: Platform;
	readonly answerListener: AnswerListener;
	readonly pool: EndpointPool;
	readonly load: LoadTracker;
	readonly correctedClock: CorrectedClock;
	readonly usage: UsageCounter;
	readonly log: DecisionLog;
	/** Runs the lease and the duties. */
	readonly supervise: Supervise;
	readonly metrics: ForwardMetrics;
	readonly services: () => readonly ForwardService[];
	/** Called with the role changes that this entry has ordered and that are not finished. */
	readonly onPendingRoleChanges: (changes: readonly RoleChange[]) => void;
};

const runUsageReports = async (options: DutiesOptions, progress: UsageProgress, lease: Lease, signal: AbortSignal): Promise<void> => {
	const {platform, makeId, holder, usageWindowMs, correctedClock, usage, log, metrics} = options;
	await runUsageDuty({
		rows: platform.rows,
		table: platform.table,
		calls: platform.duties,
		holder,
		makeId,
		windowMs: usageWindowMs,
		nowMs: () => correctedClock.nowMs(),
		countsByProcess: window => usage.countsByProcess(window),
		onReport(report) {
			metrics.countUsageReport(report.accepted);
			log.write('usage', report);
		},
		onSkip(skipped) {
			metrics.countSkippedUsageWindows(skipped.windows.length);
			log.write('usage', {skippedWindows: skipped.windows, epoch: skipped.epoch});
		},
		onError(error) {
			log.writeError('reporting usage', error);
		},
		progress,
	}, lease, signal);
};

const createRoleDuty = (options: DutiesOptions, lease: () => Lease | undefined): RoleDuty => {
	const {clock, platform, answerListener, pool, load, holder, services, log, onPendingRoleChanges} = options;
	return new RoleDuty({
		clock,
		wire: platform.wire,
		answerListener,
		pool,
		load,
		holder,
		services,
		lease,
		onOrder(order) {
			log.write('role', order);
		},
		onDamagedReport({id, service}) {
			log.write('role', {service, endpoint: id, problem: 'its report cannot be read'});
		},
		onPendingChanges: onPendingRoleChanges,
	});
};

/** Acquires the lease whenever it is free and runs the duties while it is held. Demand is measured without the lease, too. */
export const runDuties = async (options: DutiesOptions, signal: AbortSignal): Promise<void> => {
	const {clock, makeId, random, liveEntries, holder, platform, log, supervise} = options;
	const progress: UsageProgress = {};
	let heldLease: Lease | undefined;
	const keepLease = async (): Promise<void> => runLease({
		duty: usageDutyName,
		holder,
		table: platform.table,
		clock,
		makeId,
		durations: leaseDurations,
		watchPauseMs: () => leaseWatchPauseMs(liveEntries(), random),
		async onHeld(lease, held) {
			log.write('lease', {duty: usageDutyName, held: true, epoch: lease.epoch});
			heldLease = lease;
			await runUsageReports(options, progress, lease, held);
			heldLease = undefined;
			log.write('lease', {duty: usageDutyName, held: false, epoch: lease.epoch});
		},
		onError(error) {
			log.writeError('running the leased duties', error);
		},
	}, signal);
	const roleDuty = createRoleDuty(options, () => heldLease?.isHeld() ? heldLease : undefined);
	await Promise.all([supervise('duties/lease', keepLease, signal), supervise('duties/roles', async () => roleDuty.run(signal), signal)]);
};
