/**
 * The counters and gauges of the leased duties.
 */
import {Counter, Gauge, type Registry} from 'prom-client';

/** Creates the metrics in the registry of the entry. */
export const createDutyMetrics = (registry: Registry) => {
	const registers = [registry];
	const name = (suffix: string): string => `hawthorncleat_duty_${suffix}`;
	return {
		held: new Gauge({
			name: name('held'), help: 'Leases that this entry holds (count) by kind of duty', labelNames: ['kind'], registers,
		}),
		outageAuthority: new Gauge({
			name: name('outage_authority'), help: 'Duties that this entry goes on with during a table outage (count) by kind of duty', labelNames: ['kind'], registers,
		}),
		failures: new Counter({
			name: name('failures_total'), help: 'Duties that ended with an error (count) by kind of duty', labelNames: ['kind'], registers,
		}),
		frozenWindows: new Counter({name: name('usage_windows_frozen_total'), help: 'Usage windows frozen by this entry (count)', registers}),
		reportedWindows: new Counter({name: name('usage_reports_total'), help: 'Usage reports confirmed by the platform (count)', registers}),
		usageFailures: new Counter({name: name('usage_failed_rounds_total'), help: 'Rounds of the usage reporter that failed (count)', registers}),
		lateParts: new Counter({name: name('usage_late_parts_total'), help: 'Parts with usage added to a later window (count)', registers}),
		endpointOrders: new Counter({
			name: name('endpoint_orders_total'), help: 'Endpoint orders written (count) by kind', labelNames: ['kind'], registers,
		}),
		roleOrders: new Counter({
			name: name('role_orders_total'), help: 'Role orders written (count) by the new role', labelNames: ['role'], registers,
		}),
		invalidParts: new Counter({name: name('usage_invalid_parts_total'), help: 'Reads of usage parts of an unexpected form (count)', registers}),
		unreportedWindows: new Gauge({
			name: name('usage_unreported_windows'), help: 'Frozen windows without a confirmed report (count) by shard', labelNames: ['shard'], registers,
		}),
	};
};

export type DutyMetrics = ReturnType<typeof createDutyMetrics>;
