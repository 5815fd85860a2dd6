/**
 * The leased duties of an entry.
 */
import {setMaxListeners} from 'node:events';
import {usageShardCount, type Clock, type MakeId} from '@hawthorncleat/core';
import type {
	EndpointOrdersClient, ObjectStore, Table, UsageReportsClient,
} from '@hawthorncleat/store';
import type {EntrySettings} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {ConfigSource, DutySources, HostSource} from '../deps.js';
import type {CreateOutageEvidence} from '../control/duty-evidence.js';
import {createDutyMetrics} from './duty-metrics.js';
import {runEndpointDuty} from './endpoint-duty.js';
import {runRoleDuties} from './role-duties.js';
import {runDuty, type Duty, type DutyContext} from './run-duty.js';
import {UsageReporter} from './usage-reporter.js';

export type DutiesDeps = {
	readonly clock: Clock;
	readonly wallClock: Clock;
	readonly makeId: MakeId;
	readonly log: Log;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly usageReports: UsageReportsClient;
	readonly endpointOrders: EndpointOrdersClient;
	readonly config: ConfigSource;
	/** The hosts of the region. */
	readonly hosts: HostSource;
	readonly entryHosts?: HostSource;
	readonly outageEvidence?: CreateOutageEvidence;
};

const createUsageDuty = (shard: number, settings: EntrySettings, deps: DutiesDeps, context: DutyContext): Duty => {
	const reporter = new UsageReporter({
		...deps, shard, windowMs: settings.usageWindowMs, reports: deps.usageReports, metrics: context.metrics,
	});
	return {name: `usage/${shard}`, kind: 'usage', run: reporter.run};
};

/** Creates the function that runs all duties until its signal aborts. */
export const createDuties = (settings: EntrySettings, deps: DutiesDeps) =>
	async (sources: DutySources, signal: AbortSignal): Promise<void> => {
		setMaxListeners(0, signal);
		const context: DutyContext = {
			...deps,
			entryId: settings.entryId,
			entries: () => deps.entryHosts?.current() ?? [],
			hostPollMs: settings.hostPollMs,
			metrics: createDutyMetrics(sources.registry),
		};
		const shards = Array.from({length: usageShardCount}, (_, shard) => shard);
		const duties = shards.map(shard => createUsageDuty(shard, settings, deps, context));
		const planning = {
			settings, context, sources, config: deps.config, hosts: deps.hosts, outageEvidence: deps.outageEvidence,
		};
		await Promise.all([
			...duties.map(async duty => runDuty(duty, context, signal)),
			runRoleDuties(planning, signal),
			runEndpointDuty({...planning, endpointOrders: deps.endpointOrders}, signal),
		]);
	};
