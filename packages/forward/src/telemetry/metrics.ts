/**
 * Counters and histograms of a forwarding entry.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {ForwardAccountLimit, RateChange} from '@hawthorncleat/core';
import type {StoreCall} from '../store/counted-platform.js';
import type {CloseReason} from '../callers/caller-connections.js';
import type {RequestEnd} from '../callers/caller-handler.js';
import type {AttemptReport, StallReport} from '../requests/attempt-report.js';
import type {KeptOutReason} from '../requests/kept-out.js';

/** What traffic that is not for callers is for: a table of the store, the configuration of another entry, or messages between entries. */
export type ControlPurpose = 'config' | 'endpoints' | 'gossip' | 'members' | 'peer-config';

export type ControlTransfer = {readonly purpose: ControlPurpose; readonly direction: 'in' | 'out'; readonly bytes: number};

/** What became of a request of an account with a limit, and its cost in the unit of the limit. */
export type AccountRequest = {
	readonly outcome: 'admitted' | 'refused' | 'repeated' | 'returned';
	readonly unit: ForwardAccountLimit['unit'];
	readonly amount: number;
};

/** Close together around the usual latency targets. */
const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1, 2, 4, 8];

export class ForwardMetrics {
	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'hawthorncleat_forward_requests_total', help: 'Requests by result code', labelNames: ['code'], registers: [this.registry],
	});

	readonly #closedConnections = new Counter({
		name: 'hawthorncleat_forward_closed_connections_total', help: 'Connections of callers that the entry closed, by reason', labelNames: ['reason'], registers: [this.registry],
	});

	readonly #acceptedConnections = new Counter({
		name: 'hawthorncleat_forward_accepted_connections_total', help: 'Connections of callers that the entry accepted', registers: [this.registry],
	});

	readonly #heldBytes = new Gauge({
		name: 'hawthorncleat_forward_held_bytes', help: 'Bytes kept for callers: bodies, answers that are not sent yet, and running requests', registers: [this.registry],
	});

	readonly #refusedBytes = new Gauge({
		name: 'hawthorncleat_forward_held_bytes_refusals', help: 'How often there was no memory for bytes of a caller since the start', registers: [this.registry],
	});

	readonly #leftRequests = new Counter({
		name: 'hawthorncleat_forward_left_requests_total', help: 'Requests whose caller had left before they were served', registers: [this.registry],
	});

	readonly #loopTurns = new Gauge({
		name: 'hawthorncleat_forward_event_loop_turns', help: 'Turns of the event loop since the start; each accepts at most one connection', registers: [this.registry],
	});

	readonly #acceptRun = new Gauge({
		name: 'hawthorncleat_forward_accept_run_seconds',
		help: 'Time for which each turn has accepted a connection, an upper bound of the wait in the listening queue, in seconds',
		registers: [this.registry],
	});

	readonly #taskFailures = new Counter({
		name: 'hawthorncleat_forward_task_failures_total', help: 'Exceptions of background tasks, each followed by a restart of the task', labelNames: ['task'], registers: [this.registry],
	});

	readonly #deniedRetries = new Counter({
		name: 'hawthorncleat_forward_denied_retries_total', help: 'Requests that ended after a failed attempt, by what denied another attempt', labelNames: ['reason'], registers: [this.registry],
	});

	readonly #stalls = new Counter({
		name: 'hawthorncleat_forward_stalls_total', help: 'Decisions about attempts without progress', labelNames: ['decision'], registers: [this.registry],
	});

	readonly #attempts = new Counter({
		name: 'hawthorncleat_forward_attempts_total', help: 'Attempts at endpoints by result', labelNames: ['result'], registers: [this.registry],
	});

	readonly #withdrawnAttempts = new Counter({
		name: 'hawthorncleat_forward_withdrawn_attempts_total', help: 'Attempts placed again before anything was written, because their endpoint took no more requests', registers: [this.registry],
	});

	readonly #keptOutEndpoints = new Gauge({
		name: 'hawthorncleat_forward_kept_out_endpoints', help: 'Registered endpoints that get no requests now, by reason', labelNames: ['reason'], registers: [this.registry],
	});

	readonly #backoffs = new Counter({
		name: 'hawthorncleat_forward_endpoint_backoffs_total', help: 'Times that an endpoint stated for how long it wants no requests', registers: [this.registry],
	});

	readonly #rateLimits = new Counter({
		name: 'hawthorncleat_forward_rate_limit_changes_total', help: 'Times that the limit that an endpoint names began, changed or ended', labelNames: ['change'], registers: [this.registry],
	});

	readonly #invalidRateLimits = new Counter({
		name: 'hawthorncleat_forward_invalid_rate_limits_total', help: 'Answers whose limit of requests could not be read', registers: [this.registry],
	});

	readonly #accountRequests = new Counter({
		name: 'hawthorncleat_forward_account_limit_requests_total',
		help: 'Requests of client accounts with a limit: admitted, refused, returned to the limit because they have not run, or charged again because they ran again',
		labelNames: ['outcome', 'unit'],
		registers: [this.registry],
	});

	readonly #accountAmounts = new Counter({
		name: 'hawthorncleat_forward_account_limit_used_total',
		help: 'Cost of these requests, in requests or in tokens',
		labelNames: ['outcome', 'unit'],
		registers: [this.registry],
	});

	readonly #accountRates = new Gauge({
		name: 'hawthorncleat_forward_account_limit_per_second',
		help: 'Sum of the limits of all client accounts, in requests or in tokens a second',
		labelNames: ['unit'],
		registers: [this.registry],
	});

	readonly #limitedAccounts = new Gauge({
		name: 'hawthorncleat_forward_limited_accounts', help: 'Client accounts with a limit', labelNames: ['unit'], registers: [this.registry],
	});

	readonly #invalidRetryAfters = new Counter({
		name: 'hawthorncleat_forward_invalid_retry_after_total', help: 'Retry delays of endpoints that could not be read or were cut, by problem', labelNames: ['problem'], registers: [this.registry],
	});

	readonly #damagedLeaving = new Counter({
		name: 'hawthorncleat_forward_damaged_leaving_total', help: 'Answers whose announcement that their endpoint leaves could not be read', registers: [this.registry],
	});

	readonly #latency = new Histogram({
		name: 'hawthorncleat_forward_request_seconds', help: 'Time from the head of a request to the end of its answer, in seconds', buckets: latencyBucketsSeconds, registers: [this.registry],
	});

	readonly #attemptLatency = new Histogram({
		name: 'hawthorncleat_forward_attempt_seconds', help: 'Duration of one attempt at an endpoint, in seconds', buckets: latencyBucketsSeconds, registers: [this.registry],
	});

	readonly #usageReports = new Counter({
		name: 'hawthorncleat_forward_usage_reports_total', help: 'Usage reports by whether the platform accepted them', labelNames: ['accepted'], registers: [this.registry],
	});

	readonly #skippedUsageWindows = new Counter({
		name: 'hawthorncleat_forward_skipped_usage_windows_total', help: 'Windows left out of the usage reports after the store had lost the newest report', registers: [this.registry],
	});

	readonly #furtherArrivals = new Counter({
		name: 'hawthorncleat_forward_further_arrivals_total', help: 'Repeated calls that reached an endpoint for the same request', registers: [this.registry],
	});

	readonly #liveEntries = new Gauge({
		name: 'hawthorncleat_forward_live_entries', help: 'Live entries that share the limits, including this one', registers: [this.registry],
	});

	readonly #waitingCalls = new Gauge({
		name: 'hawthorncleat_forward_waiting_calls', help: 'Calls that wait for a connection to an endpoint', registers: [this.registry],
	});

	readonly #waitingBytes = new Gauge({
		name: 'hawthorncleat_forward_waiting_bytes', help: 'Bodies of calls that wait for a connection to an endpoint, in bytes', registers: [this.registry],
	});

	readonly #quarantinedRequests = new Gauge({
		name: 'hawthorncleat_forward_quarantined_requests', help: 'Requests in quarantine because they crash endpoints', registers: [this.registry],
	});

	readonly #quarantinedSegments = new Gauge({
		name: 'hawthorncleat_forward_quarantined_segments', help: 'Prompt segments in quarantine because they crash engines', registers: [this.registry],
	});

	readonly #droppedLines = new Gauge({
		name: 'hawthorncleat_forward_dropped_log_lines', help: 'Log lines dropped by the rate limit or because their reader was slow', registers: [this.registry],
	});

	readonly #controlBytes = new Counter({
		name: 'hawthorncleat_forward_control_bytes_total',
		help: 'Bytes of traffic that is not for callers, by purpose and direction',
		labelNames: ['purpose', 'direction'],
		registers: [this.registry],
	});

	readonly #controlTransfers = new Counter({
		name: 'hawthorncleat_forward_control_transfers_total',
		help: 'Answers and messages that are not for callers, by purpose and whether they were transferred whole',
		labelNames: ['purpose', 'result'],
		registers: [this.registry],
	});

	readonly #storeCalls = new Counter({
		name: 'hawthorncleat_forward_store_calls_total',
		help: 'Calls to the platform\'s store, by table and operation',
		labelNames: ['table', 'operation'],
		registers: [this.registry],
	});

	readonly #configVersion = new Gauge({
		name: 'hawthorncleat_forward_config_version', help: 'Version of the active configuration', registers: [this.registry],
	});

	countClosedConnection(reason: CloseReason): void {
		this.#closedConnections.inc({reason});
	}

	setHeldBytes({held, refused}: {readonly held: number; readonly refused: number}): void {
		this.#heldBytes.set(held);
		this.#refusedBytes.set(refused);
	}

	countAccepted(): void {
		this.#acceptedConnections.inc();
	}

	countLeft(): void {
		this.#leftRequests.inc();
	}

	setEventLoop({turns, acceptRunMs}: {readonly turns: number; readonly acceptRunMs: number}): void {
		this.#loopTurns.set(turns);
		this.#acceptRun.set(acceptRunMs / 1000);
	}

	countRequest({tookMs, outcome}: RequestEnd): void {
		this.#requests.inc({code: outcome.code});
		if (outcome.retryDenied) {
			this.#deniedRetries.inc({reason: outcome.retryDenied});
		}

		this.#latency.observe(tookMs / 1000);
	}

	countAttempt({tookMs, result, furtherArrivals}: AttemptReport): void {
		this.#furtherArrivals.inc(furtherArrivals);
		this.#attempts.inc({result: result.kind === 'failed' ? result.failure : result.kind});
		this.#attemptLatency.observe(tookMs / 1000);
		if (result.kind === 'failed' && result.isWithdrawn) {
			this.#withdrawnAttempts.inc();
		}
	}

	countDamagedLeaving(): void {
		this.#damagedLeaving.inc();
	}

	countStall({decision}: StallReport): void {
		this.#stalls.inc({decision});
	}

	countBackoff(): void {
		this.#backoffs.inc();
	}

	countRateLimit(change: RateChange): void {
		this.#rateLimits.inc({change});
	}

	countInvalidRateLimit(): void {
		this.#invalidRateLimits.inc();
	}

	countAccountRequest({outcome, unit, amount}: AccountRequest): void {
		this.#accountRequests.inc({outcome, unit});
		this.#accountAmounts.inc({outcome, unit}, amount);
	}

	setLimitedAccounts(limits: readonly ForwardAccountLimit[]): void {
		for (const unit of ['requests', 'tokens'] as const) {
			const ofUnit = limits.filter(limit => limit.unit === unit);
			this.#limitedAccounts.set({unit}, ofUnit.length);
			this.#accountRates.set({unit}, ofUnit.reduce((sum, {perSecond}) => sum + perSecond, 0));
		}
	}

	countInvalidRetryAfter(problem: 'too-long' | 'unreadable'): void {
		this.#invalidRetryAfters.inc({problem});
	}

	setKeptOutEndpoints(counts: Readonly<Record<KeptOutReason, number>>): void {
		for (const [reason, count] of Object.entries(counts)) {
			this.#keptOutEndpoints.set({reason}, count);
		}
	}

	countTaskFailure(task: string): void {
		this.#taskFailures.inc({task});
	}

	countUsageReport(accepted: boolean): void {
		this.#usageReports.inc({accepted: String(accepted)});
	}

	countSkippedUsageWindows(windows: number): void {
		this.#skippedUsageWindows.inc(windows);
	}

	/** Counts a whole answer or message. */
	countControlTransfer({purpose, direction, bytes}: ControlTransfer): void {
		this.#controlBytes.inc({purpose, direction}, bytes);
		this.#controlTransfers.inc({purpose, result: 'whole'});
	}

	/** Counts an answer that did not arrive, or not to its end. */
	countFailedControlTransfer(purpose: ControlPurpose): void {
		this.#controlTransfers.inc({purpose, result: 'failed'});
	}

	countStoreCall({table, operation}: StoreCall): void {
		this.#storeCalls.inc({table, operation});
	}

	setConfigVersion(version: number): void {
		this.#configVersion.set(version);
	}

	setWaitingCalls(queues: ReadonlyArray<{readonly waiting: number; readonly waitingBytes: number}>): void {
		this.#waitingCalls.set(queues.reduce((sum, {waiting}) => sum + waiting, 0));
		this.#waitingBytes.set(queues.reduce((sum, {waitingBytes}) => sum + waitingBytes, 0));
	}

	setQuarantined({segments, requests}: {readonly segments: number; readonly requests: number}): void {
		this.#quarantinedSegments.set(segments);
		this.#quarantinedRequests.set(requests);
	}

	setLiveEntries(entries: number): void {
		this.#liveEntries.set(entries);
	}

	setDroppedLines(lines: number): void {
		this.#droppedLines.set(lines);
	}
}
