export {
	startAdminServer, type AdminOptions, type AdminServer, type Readiness,
} from './admin-server.js';
export {silentLog, type Log, type LogFields} from './log.js';
export {createJsonLineExporter} from './span-exporter.js';
export {
	createTracer, formatTraceparent, parseTraceparent, type HopSpan, type SpanAttributes, type Tracing,
} from './tracing.js';
