import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {startEngine} from '@hawthorncleat/stand-ins';
import {validate, validators, type LoadReport} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CachedPrefixes} from '../cached-prefixes.js';
import {planReports} from '../load-reporter.js';
import {until, withAgent} from './fakes.js';

const hashOf = (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 16);
const blocksOf = (...texts: string[]) => texts.map(text => ({hash: hashOf(text), characters: text.length}));
const nameOf = (text: string): string => `${text.length}:${hashOf(text)}`;

const longestReport = (prefixes: string[]): LoadReport => ({
	sequence: 1_000_000, role: 'prefill', running: 1000, waiting: 10_000, waitingTokens: 10_000_000, freeTokens: 10_000_000, prefixes, leaving: false,
	prefillTokensPerSecond: 0.000_012_3, stepMs: 0.000_012_3, stepMsPerRequest: 0.000_012_3, maxRunning: 1000, nextRole: 'prefill',
});

describe('cached prefixes', () => {
	it('put prefixes that prompts share first; guards against reports filled with the blocks of one long prompt', () => {
		const prefixes = new CachedPrefixes();
		prefixes.apply({kind: 'stored', blocks: blocksOf('system ', 'system one ', 'system one more ')});
		prefixes.notePrompt('system two');
		prefixes.apply({kind: 'stored', blocks: blocksOf('other ')});
		assert.equal(prefixes.list(1000), [nameOf('system '), nameOf('other '), nameOf('system one more ')]);
		assert.equal(prefixes.list(30), [nameOf('system ')]);
	});

	it('forget what the engine has removed; guards against requests sent to a cache that is gone', () => {
		const prefixes = new CachedPrefixes();
		prefixes.apply({kind: 'stored', blocks: blocksOf('system ')});
		prefixes.notePrompt('system two');
		prefixes.apply({kind: 'removed', blocks: blocksOf('system ')});
		assert.equal(prefixes.list(1000), []);
	});

	it('remember a bounded number of blocks; guards against memory that grows with the events', () => {
		const prefixes = new CachedPrefixes();
		for (let index = 0; index < 2000; index++) {
			prefixes.apply({kind: 'stored', blocks: blocksOf(`prompt ${index}`)});
			prefixes.notePrompt(`prompt ${index}`);
		}

		assert.is(prefixes.list(1_000_000).length, 64);
	});

	it('leave reports within half of 19 KB/s at any number of connections; guards against control traffic that grows with the fleet', () => {
		for (const connections of [1, 10, 17, 28, 29, 50, 98, 500, 2300]) {
			const {intervalMs, prefixBytes} = planReports(connections);
			const prefix = `1000000:${hashOf('')}`;
			const params = longestReport(Array.from({length: Math.floor(prefixBytes / (prefix.length + 3))}, () => prefix));
			assert.ok(validate(validators.validateLoadReport, params).ok);
			const bytes = Buffer.byteLength(JSON.stringify({jsonrpc: '2.0', method: 'load.report', params})) + 1;
			assert.ok(prefixBytes >= 0 && connections * bytes * 1000 / intervalMs <= 9500, `${connections} connections`);
		}
	});

	it('reach the entries from the events of an engine and end with it; guards against a choice without prefixes', async () => {
		const stop = new AbortController();
		const engine = await startEngine({blockTokens: 2, eventDelayMs: 1}, stop.signal);
		await withAgent({endpointUrl: engine.url}, async ({entry}) => {
			await entry.start('r1', {prompt: 'first second third fourth rest'});
			await until(() => entry.reports.some(({prefixes}) => prefixes.includes(nameOf('first second third fourth'))), 'the prefix');
			const last = (): LoadReport => entry.reports.at(-1)!;
			await until(() => last().prefillTokensPerSecond !== undefined, 'the measured rates');
			stop.abort();
			await until(() => last().prefixes.length === 0, 'the end of the prefixes');
		});
		await engine.closed;
	});
});
