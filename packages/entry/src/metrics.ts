/**
 * The counters and gauges of the entry. No label takes its value from a caller.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

// The targets are 0.42 s to the first token; the buckets are densest around it.
const latencyBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1, 2, 5, 10, 30];

/** Creates all metrics in a registry of their own. */
export const createMetrics = () => {
	const registry = new Registry();
	const registers = [registry];
	const name = (suffix: string): string => `hawthorncleat_entry_${suffix}`;
	return {
		registry,
		requests: new Counter({
			name: name('requests_total'), help: 'Finished requests (count) by kind and outcome code', labelNames: ['kind', 'code'], registers,
		}),
		duration: new Histogram({
			name: name('request_duration_seconds'), help: 'Time from the request to the end of its answer (seconds)', labelNames: ['kind'], buckets: latencyBuckets, registers,
		}),
		firstToken: new Histogram({
			name: name('first_token_seconds'), help: 'Time from the request to its first token (seconds)', buckets: latencyBuckets, registers,
		}),
		tokens: new Counter({
			name: name('output_tokens_total'), help: 'Tokens delivered to callers (count)', registers,
		}),
		retries: new Counter({
			name: name('retries_total'), help: 'Further attempts (count) by the failure before them', labelNames: ['failure'], registers,
		}),
		refusedByEstimate: new Counter({
			name: name('refused_by_estimate_total'), help: 'Model requests refused because no first token or pace was expected in time (count)', registers,
		}),
		refusedOverShare: new Counter({
			name: name('refused_over_share_total'), help: 'Model requests refused because their account asked for more than its share (count)', registers,
		}),
		running: new Gauge({name: name('running_requests'), help: 'Requests running now (count)', registers}),
		connections: new Gauge({name: name('endpoint_connections'), help: 'Open connections to agents (count)', registers}),
		configVersion: new Gauge({name: name('config_version'), help: 'Version of the configuration in force (number)', registers}),
		usageFlushFailures: new Counter({name: name('usage_flush_failures_total'), help: 'Usage parts that could not be written (count)', registers}),
		crashSuspects: new Gauge({name: name('crash_suspects'), help: 'Requests marked as crash suspects (count)', registers}),
	};
};

export type Metrics = ReturnType<typeof createMetrics>;
