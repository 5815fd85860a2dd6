/**
 * Shows operators what the authority of a duty rests on.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Authority, Lease} from '@hawthorncleat/store';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';

/** A duty lapses after 2 s without a new attestation, so that no state is missed. */
const watchMs = 200;

export type WatchedDuty = {readonly name: string; readonly kind: string};

const messages: Readonly<Record<Authority, string>> = {
	table: 'duty rests on its lease',
	outage: 'duty goes on during a table outage',
	none: 'duty has lost its authority',
};

/** Counts the duty in the gauge of outage authority and logs each change until `signal` aborts. */
export const watchAuthority = async (
	{name, kind}: WatchedDuty,
	{metrics, log}: {readonly metrics: DutyMetrics; readonly log: Log},
	lease: Lease,
	signal: AbortSignal,
): Promise<void> => {
	const count = (authority: Authority): number => authority === 'outage' ? 1 : 0;
	let last: Authority = 'table';
	while (!signal.aborted) {
		const authority = lease.authority();
		if (authority !== last) {
			metrics.outageAuthority.inc({kind}, count(authority) - count(last));
			last = authority;
			log.info(messages[authority], {duty: name, epoch: lease.epoch});
		}

		await sleep(watchMs, undefined, {signal}).catch(() => {/* The loop ends. */});
	}

	metrics.outageAuthority.dec({kind}, count(last));
};
