/**
 * One span for each hop of a request, continued from the `traceparent` of the hop before.
 */
import {
	ROOT_CONTEXT, SpanStatusCode, trace, type Attributes, type Context, type SpanContext,
} from '@opentelemetry/api';
import {BasicTracerProvider, SimpleSpanProcessor, type SpanExporter} from '@opentelemetry/sdk-trace-base';

/** Values that describe a span. */
export type SpanAttributes = Attributes;

/** The span of one hop. */
export type HopSpan = {
	/** What the next hop receives. */
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

/** Reads a W3C `traceparent`; anything malformed starts a new trace. */
export const parseTraceparent = (value: string | undefined): SpanContext | undefined => {
	const [, traceId, spanId, flags] = traceparentPattern.exec(value ?? '') ?? [];
	if (!traceId || !spanId || !flags || /^0+$/.test(traceId) || /^0+$/.test(spanId)) {
		return undefined;
	}

	return {
		traceId, spanId, traceFlags: Number.parseInt(flags, 16), isRemote: true,
	};
};

/** Writes a span context as a W3C `traceparent`. */
export const formatTraceparent = ({traceId, spanId, traceFlags}: SpanContext): string =>
	`00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`;

const parentContext = (traceparent: string | undefined): Context => {
	const parent = parseTraceparent(traceparent);
	return parent ? trace.setSpanContext(ROOT_CONTEXT, parent) : ROOT_CONTEXT;
};

/** Creates the tracing of one service. Without an exporter the trace is still passed on. */
export const createTracer = (serviceName: string, exporter?: SpanExporter): Tracing => {
	const provider = new BasicTracerProvider({spanProcessors: exporter ? [new SimpleSpanProcessor(exporter)] : []});
	const tracer = provider.getTracer(serviceName);
	return {
		startSpan(name, traceparent, attributes = {}) {
			const span = tracer.startSpan(name, {attributes}, parentContext(traceparent));
			let ended = false;
			return {
				traceparent: formatTraceparent(span.spanContext()),
				setAttributes(more) {
					span.setAttributes(more);
				},
				end(problem) {
					if (ended) {
						return;
					}

					ended = true;
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
