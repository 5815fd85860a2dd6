/**
 * Tracing of requests across processes. Each process (hop) on the path of a request has one span, whose parent is given by
 * the `traceparent` header that it received from the previous hop.
 */
import {
	ROOT_CONTEXT, SpanStatusCode, trace, type Attributes, type Context, type SpanContext,
} from '@opentelemetry/api';
import {BasicTracerProvider, SimpleSpanProcessor, type SpanExporter} from '@opentelemetry/sdk-trace-base';

/** Attributes of a span. */
export type SpanAttributes = Attributes;

/** The span of one hop. */
export type HopSpan = {
	/** Value of the `traceparent` header for the next hop. */
	readonly traceparent: string;
	setAttributes(attributes: SpanAttributes): void;
	/** Ends the span; `problem` marks it as failed. A second call has no effect. */
	end(problem?: string): void;
};

/** Starts spans for one service. */
export type Tracing = {
	startSpan(name: string, traceparent?: string, attributes?: SpanAttributes): HopSpan;
	shutdown(): Promise<void>;
};

const traceparentPattern = /^[\da-f]{2}-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})$/;

/** Parses a W3C `traceparent` header; undefined if it is missing or malformed, in which case a new trace starts. */
export const parseTraceparent = (value: string | undefined): SpanContext | undefined => {
	const [, traceId, spanId, flags] = traceparentPattern.exec(value ?? '') ?? [];
	if (!traceId || !spanId || !flags || /^0+$/.test(traceId) || /^0+$/.test(spanId)) {
		return undefined;
	}

	return {
		traceId, spanId, traceFlags: Number.parseInt(flags, 16), isRemote: true,
	};
};

/** Formats a span context as a W3C `traceparent` header. */
export const formatTraceparent = ({traceId, spanId, traceFlags}: SpanContext): string =>
	`00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`;

const createParentContext = (traceparent: string | undefined): Context => {
	const parent = parseTraceparent(traceparent);
	return parent ? trace.setSpanContext(ROOT_CONTEXT, parent) : ROOT_CONTEXT;
};

/** Creates the tracing of one service. Without an exporter no spans are exported, but the trace is still passed to the next hop. */
export const createTracer = (serviceName: string, exporter?: SpanExporter): Tracing => {
	const provider = new BasicTracerProvider({spanProcessors: exporter ? [new SimpleSpanProcessor(exporter)] : []});
	const tracer = provider.getTracer(serviceName);
	return {
		startSpan(name, traceparent, attributes = {}) {
			const span = tracer.startSpan(name, {attributes}, createParentContext(traceparent));
			let hasEnded = false;
			return {
				traceparent: formatTraceparent(span.spanContext()),
				setAttributes(additional) {
					span.setAttributes(additional);
				},
				end(problem) {
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					if (problem !== undefined) {
						span.setStatus({code: SpanStatusCode.ERROR, message: problem});
					}

					span.end();
				},
			};
		},
		shutdown: async () => provider.shutdown(),
	};
};
