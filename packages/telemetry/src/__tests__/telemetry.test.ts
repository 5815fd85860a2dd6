import {describe, it} from '@hawthorncleat/test-kit';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import {createTracer, parseTraceparent, startAdminServer} from '../index.js';

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

describe('telemetry', () => {
	describe('tracing', () => {
		// Guards against a separate trace for each hop of one request.
		it('continues the trace of the previous hop', () => {
			const exporter = new InMemorySpanExporter();
			const span = createTracer('agent', exporter).startSpan('hop', parent);
			span.end();
			const [finished] = exporter.getFinishedSpans();
			assert.is(finished?.parentSpanContext?.spanId, 'b7ad6b7169203331');
			assert.match(span.traceparent, /^00-0af7651916cd43dd8448eb211c80319c-[\da-f]{16}-01$/);
		});

		// Guards against a request that fails because its caller sent a malformed header.
		it('starts a new trace when the header is malformed', () => {
			assert.is(parseTraceparent('00-zz'), undefined);
			assert.match(createTracer('agent').startSpan('hop', 'nonsense').traceparent, /^00-[\da-f]{32}-[\da-f]{16}-01$/);
		});
	});

	describe('admin server', () => {
		// Guards against a load balancer that keeps sending work to a draining process.
		it('answers 503 with the reasons while not ready', async () => {
			const controller = new AbortController();
			const readiness = () => ({ready: false, reasons: ['draining']});
			const server = await startAdminServer({
				address: '127.0.0.1', port: 0, registry: new Registry(), readiness,
			}, controller.signal);
			const response = await fetch(`http://127.0.0.1:${server.port}/readyz`);
			assert.is(response.status, 503);
			assert.equal(await response.json(), {ready: false, reasons: ['draining']});
			controller.abort();
			await server.closed;
		});
	});
});
