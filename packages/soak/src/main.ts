/**
 * Command line of the fault soak: runs a range of seeds, prints one line for each and the promises that were broken, and
 * writes the record and the log of each seed that broke one.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {resetPortAllocation} from '@hawthorncleat/test-kit';
import yargs from 'yargs';
import {runSeed, type SeedResult} from './run-seed.js';

const msPerSecond = 1000;

const formatResult = ({seed, calls, served, runs, faults, violations}: SeedResult): string => [
	`seed ${seed}: ${violations.length === 0 ? 'ok' : 'BROKEN'}, ${calls} calls, ${served} served, ${runs} runs, faults ${faults.flat().join(' ')}`,
	...violations.map(({rule, what}) => `  ${rule}: ${what}`),
].join('\n');

const writeRecord = async (folder: string, {seed, record, logLines}: SeedResult): Promise<void> => {
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, `seed-${seed}.json`), JSON.stringify(record));
	await writeFile(path.join(folder, `seed-${seed}.log`), `${logLines.join('\n')}\n`);
};

/** Runs the seeds one after the other. Returns the exit code: 1 if a promise was broken, otherwise 0. */
export const main = async (args: readonly string[]): Promise<number> => {
	const {first, seeds, seconds, out} = await yargs(args)
		.scriptName('soak')
		.option('first', {type: 'number', default: 1, describe: 'first seed'})
		.option('seeds', {type: 'number', default: 10, describe: 'number of seeds'})
		.option('seconds', {type: 'number', default: 12, describe: 'time under injected faults for each seed, in seconds'})
		.option('out', {type: 'string', default: 'target/soak', describe: 'folder for logs and records of seeds that break a promise'})
		.strict()
		.parseAsync();
	let brokenSeeds = 0;
	for (let seed = first; seed < first + seeds; seed += 1) {
		// A seed takes about 40 of the 499 ports of this process, so the ports of earlier seeds are reused.
		resetPortAllocation();
		const result = await runSeed({seed, durationMs: seconds * msPerSecond});
		console.log(formatResult(result));
		if (result.violations.length > 0) {
			brokenSeeds += 1;
			await writeRecord(out, result);
		}
	}

	console.log(`${seeds - brokenSeeds} of ${seeds} seeds kept every promise`);
	return brokenSeeds === 0 ? 0 : 1;
};
