import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {UsageReturnsWorld, type PlantedFault, type WorldResult} from './usage-returns-world.js';

/** Each world has the next seed. */
const firstSeed = 3200;
const worldCount = 40;
const runMs = 8000;

/** Runs the worlds of all seeds side by side; they spend their time waiting. */
const runWorlds = async (fault: PlantedFault, durationMs: number): Promise<WorldResult[]> =>
	Promise.all(Array.from({length: worldCount}, async (_, index) => new UsageReturnsWorld(firstSeed + index, fault).run(durationMs)));

const sum = (results: readonly WorldResult[], numberOf: (result: WorldResult) => number): number =>
	results.reduce((total, result) => total + numberOf(result), 0);

describe('usage reports of entries over a store that returns from copies', () => {
	// Guards against two reports of one window with different counts, and against a fencing token that two processes use.
	it('have one figure a window and one process a token; guards against reports that the store has lost', async () => {
		const results = await runWorlds('none', runMs);
		assert.equal(results.flatMap(({violations}) => violations), []);
		assert.ok(sum(results, ({returns}) => returns) > worldCount, 'too few returns');
		assert.ok(sum(results, ({reportedWindows}) => reportedWindows) > 5 * worldCount, 'too few reports');
		assert.ok(sum(results, ({continuedLeases}) => continuedLeases) > 0, 'no lease continued');
		assert.ok(sum(results, ({skippedWindows}) => skippedWindows) > 0, 'no window skipped');
	});

	it('show a planted fault: the generation is not known; guards against a search that finds nothing', async () => {
		const results = await runWorlds('ignores-generation', runMs / 2);
		const violations = results.flatMap(result => result.violations);
		assert.ok(violations.some(violation => violation.startsWith('window')), 'no window with two figures');
		assert.ok(violations.some(violation => violation.startsWith('token')), 'no token of two processes');
	});

	it('show a planted fault: a tenure after a return starts with the oldest window; guards against a search that finds nothing', async () => {
		const results = await runWorlds('starts-anew', runMs / 2);
		const violations = results.flatMap(result => result.violations);
		assert.ok(violations.some(violation => violation.startsWith('window')), 'no window with two figures');
	});
});
