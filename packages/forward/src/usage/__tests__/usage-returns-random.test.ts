import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {UsageReturnsWorld, type PlantedFault, type WorldResult} from './usage-returns-world.js';

/** Each world has the next seed. */
const firstSeed = 3200;
const worldCount = 40;
/** Worlds run in real time. Forty side by side take half a processor, and on a busy machine their leases lapse all the time. */
const worldsPerRound = 10;
/** A machine that is short of processor time needs more rounds than the worlds take. */
const maxRounds = 8;
const runMs = 8000;

/** Runs worlds of successive seeds, some side by side, until they have shown enough. */
const runWorlds = async (fault: PlantedFault, durationMs: number, isEnough: (results: readonly WorldResult[]) => boolean): Promise<WorldResult[]> => {
	const results: WorldResult[] = [];
	for (let round = 0; round < maxRounds && !isEnough(results); round += 1) {
		const roundSeed = firstSeed + (round * worldsPerRound);
		results.push(...await Promise.all(Array.from({length: worldsPerRound}, async (_, index) => new UsageReturnsWorld(roundSeed + index, fault).run(durationMs))));
	}

	return results;
};

const sum = (results: readonly WorldResult[], numberOf: (result: WorldResult) => number): number =>
	results.reduce((total, result) => total + numberOf(result), 0);

const hasViolationOf = (subject: string) => (results: readonly WorldResult[]): boolean =>
	results.some(({violations}) => violations.some(violation => violation.startsWith(subject)));

const hasWindowViolation = hasViolationOf('window');
const hasTokenViolation = hasViolationOf('token');

const hasAllWorlds = (results: readonly WorldResult[]): boolean => results.length >= worldCount;
const hasEnoughReturns = (results: readonly WorldResult[]): boolean => sum(results, ({returns}) => returns) > worldCount;
const hasEnoughReports = (results: readonly WorldResult[]): boolean => sum(results, ({reportedWindows}) => reportedWindows) > 5 * worldCount;
const hasContinuedLease = (results: readonly WorldResult[]): boolean => sum(results, ({continuedLeases}) => continuedLeases) > 0;
const hasSkippedWindow = (results: readonly WorldResult[]): boolean => sum(results, ({skippedWindows}) => skippedWindows) > 0;

describe('usage reports of entries over a store that returns from copies', () => {
	// Guards against two reports of one window with different counts, and against a fencing token that two processes use.
	it('have one figure a window and one process a token; guards against reports that the store has lost', async () => {
		const results = await runWorlds('none', runMs, results =>
			[hasAllWorlds, hasEnoughReturns, hasEnoughReports, hasContinuedLease, hasSkippedWindow].every(isEnough => isEnough(results)));
		assert.equal(results.flatMap(({violations}) => violations), []);
		assert.ok(hasEnoughReturns(results), 'too few returns');
		assert.ok(hasEnoughReports(results), 'too few reports');
		assert.ok(hasContinuedLease(results), 'no lease continued');
		assert.ok(hasSkippedWindow(results), 'no window skipped');
	});

	it('show a planted fault: the generation is not known; guards against a search that finds nothing', async () => {
		const results = await runWorlds('ignores-generation', runMs / 2, results => hasWindowViolation(results) && hasTokenViolation(results));
		assert.ok(hasWindowViolation(results), 'no window with two figures');
		assert.ok(hasTokenViolation(results), 'no token of two processes');
	});

	it('show a planted fault: a tenure after a return starts with the oldest window; guards against a search that finds nothing', async () => {
		const results = await runWorlds('starts-anew', runMs / 2, hasWindowViolation);
		assert.ok(hasWindowViolation(results), 'no window with two figures');
	});
});
