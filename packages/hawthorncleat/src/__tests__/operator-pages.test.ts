import {readFile} from 'node:fs/promises';
import {describeSettings} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';

describe('operator documentation', () => {
	it('lists every setting with its variable; guards against settings that only the schema knows', async () => {
		const text = await readFile('docs/operators/installing.md', 'utf8');
		for (const {flag, variable} of [...describeSettings('entry'), ...describeSettings('agent')]) {
			assert.match(text, `| \`--${flag}\` | \`${variable}\` |`);
		}
	});
});
