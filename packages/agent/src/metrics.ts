/**
 * Counters and gauges of the agent. Labels take values from fixed lists only.
 */
import {Counter, Gauge, Registry} from 'prom-client';

const prefix = 'hawthorncleat_agent_';

export type GaugeReaders = {
	readonly running: () => number;
	readonly waiting: () => number;
	readonly waitingTokens: () => number;
	readonly connections: () => number;
	readonly ready: () => boolean;
};

/** The counters that the agent's parts increase. */
export type AgentMetrics = {
	readonly registry: Registry;
	readonly refused: Counter<'code'>;
	readonly failed: Counter<'code'>;
	readonly finished: Counter;
	readonly cancelled: Counter;
	readonly outputTokens: Counter;
	readonly serviceCalls: Counter<'result'>;
	readonly crashes: Counter;
	readonly orders: Counter<'result'>;
};

/** Creates the agent's metrics in a registry of their own. */
export const createMetrics = (): AgentMetrics => {
	const registry = new Registry();
	const counter = <Label extends string = never>(name: string, help: string, labelNames: Label[] = []): Counter<Label> =>
		new Counter({
			name: `${prefix}${name}`, help, labelNames, registers: [registry],
		});
	return {
		registry,
		refused: counter('refused_total', 'Requests and calls refused before they reached the endpoint (count)', ['code']),
		failed: counter('requests_failed_total', 'Model requests that ended without a whole answer (count)', ['code']),
		finished: counter('requests_finished_total', 'Model requests whose place at the engine became free (count)'),
		cancelled: counter('requests_cancelled_total', 'Model requests cancelled before their end (count)'),
		outputTokens: counter('output_tokens_total', 'Tokens received from the engine (tokens)'),
		serviceCalls: counter('service_calls_total', 'Calls sent to the plain service (count)', ['result']),
		crashes: counter('endpoint_crashes_total', 'Times that the endpoint stopped answering (count)'),
		orders: counter('engine_orders_total', 'Orders received for the engine (count)', ['result']),
	};
};

/** Adds gauges that read their value when they are scraped. */
export const addGauges = ({registry}: AgentMetrics, readers: GaugeReaders): void => {
	const gauge = (name: string, help: string, read: () => number): void => {
		const instance = new Gauge({
			name: `${prefix}${name}`,
			help,
			registers: [registry],
			collect() {
				instance.set(read());
			},
		});
	};

	gauge('running', 'Requests running at the endpoint (count)', readers.running);
	gauge('waiting', 'Requests waiting in the queue (count)', readers.waiting);
	gauge('waiting_tokens', 'Work waiting in the queue (tokens)', readers.waitingTokens);
	gauge('connections', 'Open connections of entries (count)', readers.connections);
	gauge('ready', 'Whether the agent takes work (1 or 0)', () => Number(readers.ready()));
};
