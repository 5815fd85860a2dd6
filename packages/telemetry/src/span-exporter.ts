/**
 * Span exporter that writes each finished span as a line of JSON to a file or to standard error.
 */
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import type {Writable} from 'node:stream';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-base';

/** Spans are dropped while more bytes than this wait to be written, so that a slow disk does not fill the memory. */
const maxBufferedBytes = 1024 * 1024;
const successCode = 0;
const failureCode = 1;

const toMilliseconds = ([seconds, nanoseconds]: readonly [number, number]): number => (seconds * 1000) + (nanoseconds / 1_000_000);

const toLine = (span: ReadableSpan): string => {
	const {traceId, spanId} = span.spanContext();
	return JSON.stringify({
		service: span.instrumentationScope.name,
		name: span.name,
		traceId,
		spanId,
		parentSpanId: span.parentSpanContext?.spanId,
		startMs: toMilliseconds(span.startTime),
		durationMs: toMilliseconds(span.duration),
		status: span.status,
		attributes: span.attributes,
	});
};

const endStream = async (stream: Writable): Promise<void> => new Promise(resolve => {
	stream.end(resolve);
});

/** Creates an exporter that appends to the file at `destination`; `-` means standard error. */
export const createJsonLineExporter = (destination: string): SpanExporter => {
	const isStandardError = destination === '-';
	const stream: Writable = isStandardError ? process.stderr : createWriteStream(destination, {flags: 'a'});
	let hasFailed = false;
	if (!isStandardError) {
		stream.on('error', () => {
			hasFailed = true;
		});
	}

	return {
		export(spans, resultCallback) {
			if (hasFailed || stream.writableLength > maxBufferedBytes) {
				resultCallback({code: failureCode});
				return;
			}

			stream.write(spans.map(span => `${toLine(span)}\n`).join(''));
			resultCallback({code: successCode});
		},
		async shutdown() {
			if (!isStandardError && !hasFailed) {
				await endStream(stream);
			}
		},
	};
};
