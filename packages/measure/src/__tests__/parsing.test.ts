import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {countRequests, noPlatformCounts, subtractCounts} from '../platform-traffic.js';
import {parseCpuMs, parsePeakBytes, parseResidentBytes} from '../process-usage.js';
import {formatFigure, formatTable} from '../table.js';
import {countTokenLines} from '../token-lines.js';

describe('parsing of what is measured', () => {
	describe('process usage', () => {
		it('reads resident memory in bytes; guards against the peak or kibibytes being reported', () => {
			assert.is(parseResidentBytes('VmHWM:\t  900 kB\nVmRSS:\t   128 kB\nThreads:\t7\n'), 131_072);
		});

		it('reads the peak of a command; guards against the memory left just before it ends', () => {
			assert.is(parsePeakBytes('VmHWM:\t  900 kB\nVmRSS:\t   128 kB\n'), 921_600);
		});

		it('reads processor time and not waiting time; guards against a busy machine raising the figure', () => {
			assert.is(parseCpuMs('2500000 9000000 17\n'), 2.5);
		});

		it('rejects an empty file; guards against a thread that ended counting as no time', () => {
			assert.throws(() => parseCpuMs(''), /not a schedstat line/);
		});
	});

	describe('platform traffic', () => {
		it('tells table reads from writes; guards against every table request counting as a write', () => {
			const text = 'GET /table/row?key=config%2Fhead HTTP/1.1\r\nhost: a\r\n\r\nPOST /table/transact HTTP/1.1\r\n\r\n{}';
			assert.equal(countRequests(noPlatformCounts, text), {...noPlatformCounts, tableReads: 1, tableWrites: 1});
		});

		it('counts host lists and objects apart; guards against them being charged to the table', () => {
			const text = 'GET /hosts?dataCentre=a HTTP/1.1\r\n\r\nPUT /objects/usage/1 HTTP/1.1\r\n\r\nGET /objects/a HTTP/1.1\r\n';
			assert.equal(countRequests(noPlatformCounts, text), {
				...noPlatformCounts, hostReads: 1, objectReads: 1, objectWrites: 1,
			});
		});

		it('subtracts each kind; guards against the traffic of the start counting as rest', () => {
			const later = {...noPlatformCounts, tableReads: 5, hostReads: 2};
			assert.equal(subtractCounts(later, {...noPlatformCounts, tableReads: 3}), {...noPlatformCounts, tableReads: 2, hostReads: 2});
		});
	});

	describe('tokens', () => {
		it('counts the words of an event; guards against an event with several tokens counting as one', () => {
			const text = 'data: {"choices":[{"text":" ab cd"}]}\n\ndata: {"choices":[{"text":"","finish_reason":"length"}]}\n\ndata: [DONE]\n\n';
			assert.equal(countTokenLines('events', text), {tokens: 2, rest: ''});
		});

		it('keeps an unfinished line; guards against tokens that are split between chunks', () => {
			assert.equal(countTokenLines('engine', '{"position":0,"token":" a"}\n{"posi'), {tokens: 1, rest: '{"posi'});
		});

		it('does not count the end line of an engine; guards against one token too many per answer', () => {
			assert.is(countTokenLines('engine', '{"end":{"reason":"length"}}\n').tokens, 0);
		});
	});

	describe('table', () => {
		it('prints four digits; guards against noise that looks like precision', () => {
			assert.is(formatFigure(12.345_678), '12.35');
			assert.is(formatFigure(1_234_567), '1234567');
		});

		it('has one row for each figure; guards against figures that only the JSON file has', () => {
			assert.match(formatTable({rest: {cpu: 1, bytes: 2}}), /\| rest \| cpu \| 1 \|\n\| rest \| bytes \| 2 \|$/);
		});
	});
});
