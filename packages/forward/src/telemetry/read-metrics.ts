/**
 * Reads the metrics that are not counted as things happen, and returns the text of all.
 */
import type {AcceptMonitor} from '../callers/accept-monitor.js';
import type {HeldBytes} from '../callers/held-bytes.js';
import type {CrashGuard} from '../quarantines/crash-guard.js';
import type {EndpointPool} from '../endpoints/endpoint-pool.js';
import {countKeptOut} from '../requests/kept-out.js';
import type {Membership} from '../peers/membership.js';
import type {DecisionLog} from './decision-log.js';
import type {ForwardMetrics} from './metrics.js';

export type MetricSources = {
	readonly metrics: ForwardMetrics;
	readonly pool: EndpointPool;
	readonly members: Membership;
	readonly crashes: Pick<CrashGuard, 'quarantinedRequests' | 'quarantinedSegments'>;
	readonly log: Pick<DecisionLog, 'droppedLines'>;
	readonly accepts: Pick<AcceptMonitor, 'counts' | 'runMs'>;
	readonly heldBytes: Pick<HeldBytes, 'held' | 'refused'>;
	readonly nowMs: number;
};

export const readMetrics = async ({
	metrics, pool, members, crashes, log, accepts, heldBytes, nowMs,
}: MetricSources): Promise<string> => {
	metrics.setKeptOutEndpoints(countKeptOut(pool.all(), nowMs));
	metrics.setDroppedLines(log.droppedLines);
	metrics.setLiveEntries(members.liveCount());
	metrics.setEventLoop({turns: accepts.counts.turns, acceptRunMs: accepts.runMs});
	metrics.setHeldBytes(heldBytes);
	metrics.setWaitingCalls([...pool.all()].map(({connections}) => connections.queue));
	metrics.setQuarantined({segments: crashes.quarantinedSegments, requests: crashes.quarantinedRequests});
	return metrics.registry.metrics();
};
