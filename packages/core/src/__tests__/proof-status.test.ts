import {existsSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';

const root = fileURLToPath(new URL('../../../..', import.meta.url));
const invariants = Array.from({length: 14}, (_, index) => `I${index + 1}`);
const failures = [
	'process killed',
	'process paused',
	'partition',
	'load reports lag',
	'engine crashes in the middle of a change',
	'key withdrawn while its caller is connected',
	'store down or slow',
	'response lost after the write took effect',
	'lease expires while its holder is paused',
	'operators make concurrent changes',
	'request crashes each endpoint that runs it',
	'open connections go silent',
];
const columns = 7;

/** Returns the rows of all tables of a page by their first cell. */
const readRows = (page: string): Map<string, string[]> => new Map(page
	.split('\n')
	.filter(line => line.startsWith('| '))
	.map(line => line.slice(1, -1).split('|').map(cell => cell.trim()))
	.map(cells => [cells[0]!, cells]));

const findMissingPaths = (page: string): string[] =>
	[...page.matchAll(/`((?:\w[\w-]*\/)+[\w.-]+)`/g)]
		.map(match => match[1]!)
		.filter(file => !existsSync(path.join(root, file)));

/** Finds the seeds in a test: `seed: 1`, a list `seeds = [1, 2]`, or a constant such as `killSeed = 1`. */
const findSeeds = (text: string): Set<string> => {
	const single = [...text.matchAll(/seed(?::| =) (\d+)/gi)].map(match => match[1]!);
	const listed = [...text.matchAll(/seeds = \[([^\]]*)]/gi)].flatMap(match => match[1]!.split(',').map(seed => seed.trim()));
	return new Set([...single, ...listed]);
};

/** Returns the seeds in the table that no test in the same row uses. */
const findSeedProblems = async (rows: Iterable<string[]>): Promise<string[]> => {
	const problems: string[] = [];
	for (const cells of rows) {
		const seeds = cells[4] ?? '';
		const files = [...(cells[3] ?? '').matchAll(/`([^`]+\.ts)`/g)].map(match => match[1]!);
		const texts = await Promise.all(files.map(async file => readFile(path.join(root, file), 'utf8')));
		const used = findSeeds(texts.join('\n').replaceAll('_', ''));
		problems.push(...[...seeds.matchAll(/\d+/g)].filter(([seed]) => !used.has(seed)).map(([seed]) => `${cells[0]}: ${seed}`));
	}

	return problems;
};

describe('status of the proofs', () => {
	it('has a complete row for each invariant and failure; guards against a forgotten one', async () => {
		const rows = readRows(await readFile(path.join(root, 'docs/proof-status.md'), 'utf8'));
		const incomplete = [...invariants, ...failures].filter(name => {
			const cells = rows.get(name);
			return cells?.length !== columns || cells.includes('');
		});
		assert.equal(incomplete, []);
	});

	it('refers only to existing files and to seeds that the tests use', async () => {
		const page = await readFile(path.join(root, 'docs/proof-status.md'), 'utf8');
		assert.equal(findMissingPaths(page), []);
		assert.equal(await findSeedProblems(readRows(page).values()), []);
	});

	it('detects a file that does not exist and a seed that is not used', async () => {
		assert.equal(findMissingPaths('`models/lease.pml` and `models/no-such.pml`'), ['models/no-such.pml']);
		const tests = '`packages/core/src/__tests__/lease-schedules.test.ts`';
		assert.equal(await findSeedProblems([['I3', '', '', tests, '20262, 7']]), ['I3: 7']);
	});
});
