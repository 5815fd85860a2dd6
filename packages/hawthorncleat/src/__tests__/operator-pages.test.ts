import {readFile} from 'node:fs/promises';
import {describeSettings} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';

/** Names of the metrics in a source file that builds each as `name('suffix')`. */
const readMetricNames = async (file: string, prefix: string): Promise<string[]> => {
	const source = await readFile(file, 'utf8');
	return [...source.matchAll(/name\('(\w+)'\)/g)].map(match => `${prefix}${match[1]!}`);
};

describe('operator documentation', () => {
	it('lists every setting with its variable; guards against settings that only the schema knows', async () => {
		const text = await readFile('docs/operators/installing.md', 'utf8');
		for (const {flag, variable} of [...describeSettings('entry'), ...describeSettings('agent')]) {
			assert.match(text, `| \`--${flag}\` | \`${variable}\` |`);
		}
	});

	it('lists every metric of the entry; guards against metrics that only the source knows', async () => {
		const text = await readFile('docs/operators/metrics.md', 'utf8');
		const names = [
			...await readMetricNames('packages/entry/src/metrics.ts', 'hawthorncleat_entry_'),
			...await readMetricNames('packages/entry/src/duties/duty-metrics.ts', 'hawthorncleat_duty_'),
		];
		assert.ok(names.length > 15);
		assert.equal(names.filter(name => !text.includes(`\`${name}`)), []);
	});
});
