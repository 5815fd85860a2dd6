/**
 * Log lines and spans as the entry uses them.
 */
import {
	createTracer, silentLog, type Log, type Tracing,
} from '@hawthorncleat/telemetry';

/** Where log lines and spans go. */
export type Telemetry = {readonly log: Log; readonly startSpan: Tracing['startSpan']};

/** Fills in what the entry was not given; the trace is passed on in any case. */
export const createTelemetry = (log: Log = silentLog, tracing: Tracing = createTracer('entry')): Telemetry =>
	({log, startSpan: tracing.startSpan});
