import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from '@hawthorncleat/test-kit';
import type {SpanExporter} from '@opentelemetry/sdk-trace-base';
import * as assert from 'uvu/assert';
import {createJsonLineExporter, createTracer} from '../index.js';

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

const withDirectory = async (body: (directory: string) => Promise<void>): Promise<void> => {
	const directory = await mkdtemp(join(tmpdir(), 'hawthorncleat-spans-'));
	try {
		await body(directory);
	} finally {
		await rm(directory, {recursive: true});
	}
};

const readLines = async (file: string): Promise<Array<Record<string, unknown>>> => {
	const text = await readFile(file, 'utf8');
	assert.ok(text.endsWith('\n'));
	return text.trimEnd().split('\n').map(line => JSON.parse(line) as Record<string, unknown>);
};

/** Wraps an exporter and appends the result code of each export to `codes`. */
const recordResultCodes = (exporter: SpanExporter, codes: number[]): SpanExporter => ({
	export(spans, resultCallback) {
		exporter.export(spans, result => {
			codes.push(result.code);
			resultCallback(result);
		});
	},
	shutdown: async () => exporter.shutdown(),
});

describe('JSON-lines span exporter', () => {
	it('writes each finished span as one line, with its ids, before the shutdown resolves; guards against spans lost at the end of a process', async () => withDirectory(async directory => {
		const file = join(directory, 'spans.jsonl');
		const tracing = createTracer('agent', createJsonLineExporter(file));
		const continued = tracing.startSpan('agent.service-call', parent, {requestId: 'r1', text: 'two\nlines'});
		continued.end('endpoint-failed');
		tracing.startSpan('agent.request').end();
		await tracing.shutdown();
		const [one, two, ...others] = await readLines(file);
		assert.equal(others, []);
		const {startMs, durationMs, spanId, ...rest} = one!;
		assert.equal(rest, {
			service: 'agent',
			name: 'agent.service-call',
			traceId: '0af7651916cd43dd8448eb211c80319c',
			parentSpanId: 'b7ad6b7169203331',
			status: {code: 2, message: 'endpoint-failed'},
			attributes: {requestId: 'r1', text: 'two\nlines'},
		});
		assert.is(continued.traceparent.split('-')[2], spanId);
		assert.ok(Number(startMs) > 0 && Number(durationMs) >= 0);
		assert.is(two!.parentSpanId, undefined);
		assert.not.equal(two!.traceId, one!.traceId);
	}));

	it('appends to the file; guards against a restart that deletes the spans of the previous process', async () => withDirectory(async directory => {
		const file = join(directory, 'spans.jsonl');
		for (const name of ['before', 'after']) {
			const tracing = createTracer('entry', createJsonLineExporter(file));
			tracing.startSpan(name).end();
			await tracing.shutdown();
		}

		const lines = await readLines(file);
		assert.equal(lines.map(({name}) => name), ['before', 'after']);
	}));

	it('drops spans while more than 1 MiB waits to be written; guards against memory use that grows with a slow disk', async () => withDirectory(async directory => {
		const file = join(directory, 'spans.jsonl');
		const codes: number[] = [];
		const tracing = createTracer('entry', recordResultCodes(createJsonLineExporter(file), codes));
		// The file is not open before a later turn of the event loop, so everything written in this turn is still buffered.
		tracing.startSpan('large', undefined, {text: 'x'.repeat(1024 * 1024)}).end();
		tracing.startSpan('dropped').end();
		assert.equal(codes, [0, 1]);
		await tracing.shutdown();
		const lines = await readLines(file);
		assert.equal(lines.map(({name}) => name), ['large']);
	}));

	it('fails the export and still shuts down when the file cannot be opened; guards against a process that crashes because of its trace file', async () => withDirectory(async directory => {
		const codes: number[] = [];
		const tracing = createTracer('entry', recordResultCodes(createJsonLineExporter(join(directory, 'missing', 'spans.jsonl')), codes));
		tracing.startSpan('first').end();
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		tracing.startSpan('second').end();
		await tracing.shutdown();
		assert.equal(codes, [0, 1]);
	}));
});
