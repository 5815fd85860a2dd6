/**
 * Runs one leased duty on the entries that are candidates for it. Any entry may hold a lease, but only a few watch its
 * row, because each watcher reads it every few seconds.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	chooseByRendezvous, type Clock, type LeaseDurations, type MakeId,
} from '@hawthorncleat/core';
import {
	runLease, type Lease, type DutyWitnessClient, type Table,
} from '@hawthorncleat/store';
import type {HostRecord} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';
import {watchAuthority} from './watch-authority.js';

/**
 * Entries that watch the lease of one duty. With three, the duty goes on without a change of the host list when two of
 * them are lost.
 */
export const dutyCandidates = 3;

/** What each duty of an entry needs. */
export type DutyContext = {
	readonly entryId: string;
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** The entries of the fleet as last read. */
	readonly entries: () => readonly HostRecord[];
	readonly hostPollMs: number;
	readonly metrics: DutyMetrics;
	readonly log: Log;
	readonly durations?: LeaseDurations;
};

/** A duty; `kind` is a label of bounded value. */
export type Duty = {
	readonly name: string;
	readonly kind: string;
	readonly run: (lease: Lease, signal: AbortSignal) => Promise<void>;
	/** Lets the duty go on while the table is down. */
	readonly outage?: DutyWitnessClient | undefined;
};

/** Whether this entry watches the lease. Without a host list every entry does. */
export const isCandidate = (duty: string, entryId: string, entries: readonly HostRecord[]): boolean => {
	const live = entries.filter(({state}) => state === 'live');
	return live.length === 0
		|| chooseByRendezvous(duty, live, dutyCandidates, host => host.hostId).some(host => host.hostId === entryId);
};

const hold = (duty: Duty, context: DutyContext) => async (lease: Lease, signal: AbortSignal): Promise<void> => {
	const {metrics, log} = context;
	metrics.held.inc({kind: duty.kind});
	log.info('duty taken', {duty: duty.name, epoch: lease.epoch});
	const ending = new AbortController();
	const watched = duty.outage && watchAuthority(duty, context, lease, ending.signal);
	try {
		await duty.run(lease, signal);
	} finally {
		ending.abort();
		await watched;
		metrics.held.dec({kind: duty.kind});
		log.info('duty ended', {duty: duty.name, epoch: lease.epoch});
	}
};

/** Counts every failure of a duty and logs it when its reason changes. */
const createFailureLog = (duty: Duty, {metrics, log}: DutyContext) => {
	let lastReason: string | undefined;
	return (error: unknown): void => {
		metrics.failures.inc({kind: duty.kind});
		const reason = error instanceof Error ? error.message : String(error);
		if (reason !== lastReason) {
			lastReason = reason;
			log.error('duty failed', {duty: duty.name, reason});
		}
	};
};

const pause = async ({hostPollMs}: DutyContext, signal: AbortSignal): Promise<void> =>
	sleep(hostPollMs, undefined, {signal}).catch(() => {/* The loops look at the signal. */});

/** Aborts when the entry is no longer a candidate. */
const watchCandidacy = async (duty: Duty, context: DutyContext, controller: AbortController): Promise<void> => {
	const {signal} = controller;
	while (!signal.aborted) {
		await pause(context, signal);
		if (!isCandidate(duty.name, context.entryId, context.entries())) {
			controller.abort();
		}
	}
};

const runAsCandidate = async (duty: Duty, context: DutyContext, onError: (error: unknown) => void, signal: AbortSignal): Promise<void> => {
	const {entryId, table, clock, makeId, durations} = context;
	const controller = new AbortController();
	const stop = (): void => {
		controller.abort();
	};

	signal.addEventListener('abort', stop, {once: true});
	const watch = watchCandidacy(duty, context, controller);
	try {
		await runLease({
			duty: duty.name, holder: entryId, table, clock, makeId, durations, onHeld: hold(duty, context), onError, witnesses: duty.outage,
		}, controller.signal);
	} finally {
		stop();
		signal.removeEventListener('abort', stop);
		await watch;
	}
};

/** Runs a duty whenever this entry is a candidate and gets its lease, until `signal` aborts. */
export const runDuty = async (duty: Duty, context: DutyContext, signal: AbortSignal): Promise<void> => {
	const onError = createFailureLog(duty, context);
	while (!signal.aborted) {
		const mayHold = isCandidate(duty.name, context.entryId, context.entries());
		await (mayHold ? runAsCandidate(duty, context, onError, signal) : pause(context, signal));
	}
};
