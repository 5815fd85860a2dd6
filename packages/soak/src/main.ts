/**
 * Command line of the fault soak.
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

const writeEvidence = async (folder: string, {seed, record, logLines}: SeedResult): Promise<void> => {
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, `seed-${seed}.json`), JSON.stringify(record));
	await writeFile(path.join(folder, `seed-${seed}.log`), `${logLines.join('\n')}\n`);
};

/** Runs seeds one after the other. Returns the exit code. */
export const main = async (args: readonly string[]): Promise<number> => {
	const {first, seeds, seconds, out} = await yargs(args)
		.scriptName('soak')
		.option('first', {type: 'number', default: 1, describe: 'first seed'})
		.option('seeds', {type: 'number', default: 10, describe: 'number of seeds'})
		.option('seconds', {type: 'number', default: 12, describe: 'time under faults, for each seed'})
		.option('out', {type: 'string', default: 'target/soak', describe: 'folder for logs and records of broken seeds'})
		.strict()
		.parseAsync();
	let broken = 0;
	for (let seed = first; seed < first + seeds; seed += 1) {
		// A seed takes about 40 of the 499 ports of this process.
		resetPortAllocation();
		const result = await runSeed({seed, durationMs: seconds * msPerSecond});
		console.log(formatResult(result));
		if (result.violations.length > 0) {
			broken += 1;
			await writeEvidence(out, result);
		}
	}

	console.log(`${seeds - broken} of ${seeds} seeds kept every promise`);
	return broken === 0 ? 0 : 1;
};
