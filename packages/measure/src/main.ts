/**
 * The command line of the measurements.
 */
import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import yargs from 'yargs';
import {measureScript, runToJson} from './child-process.js';
import {measurePath, type Report} from './path-measurements.js';
import {measureAccounts, measureRest} from './rest-measurements.js';
import {slopes, slopeSizes, type Figures} from './slopes.js';
import {runStandIns} from './stand-ins.js';
import {formatTable, writeReport} from './table.js';

const describeConditions = (): Record<string, unknown> => ({
	startedAt: new Date().toISOString(), node: process.version, cores: cpus().length, processor: cpus()[0]?.model, loadAverage: loadavg(),
});

/** Runs each slope at each of its sizes in a process of its own. */
const measureSlopes = async (): Promise<Report> => {
	const report: Record<string, Figures> = {};
	for (const [name, sizes] of Object.entries(slopeSizes)) {
		for (const size of sizes) {
			report[`${name}: ${size}`] = await runToJson(['--expose-gc', measureScript, 'slope', name, String(size)]) as Figures;
		}
	}

	return report;
};

const printSlope = async (name: string, size: number): Promise<void> => {
	const measureSlope = slopes[name];
	if (!measureSlope) {
		throw new Error(`there is no slope ${name}; there are ${Object.keys(slopes).join(', ')}`);
	}

	process.stdout.write(`${JSON.stringify(await measureSlope(size))}\n`);
};

const measurements: Readonly<Record<string, () => Promise<Report>>> = {
	path: measurePath, rest: measureRest, slopes: measureSlopes, accounts: measureAccounts,
};

// The accounts are a part of rest.
const allMeasurements = ['path', 'rest', 'slopes'] as const;

const measureAndReport = async (names: readonly string[], directory: string): Promise<void> => {
	for (const name of names) {
		const conditions = describeConditions();
		const report = await measurements[name]!();
		await writeReport(`${directory}/${name}.json`, {...conditions, command: `measure ${name}`}, report);
		process.stdout.write(`## ${name}\n\n${formatTable(report)}\n\n`);
	}
};

const outOption = {
	out: {
		type: 'string', requiresArg: true, default: 'docs/bench', describe: 'Directory of the JSON files',
	},
} as const;

/** Runs one command and gives the exit code. */
export const runMeasure = async (args: readonly string[]): Promise<number> => {
	let exitCode = 0;
	await yargs(args)
		.scriptName('measure')
		.command('all', 'Measure everything', parser => parser.options(outOption), async ({out}) => measureAndReport(allMeasurements, out))
		.command('path', 'Latency, cost of requests, open streams, actions', parser => parser.options(outOption), async ({out}) => measureAndReport(['path'], out))
		.command('rest', 'Daemons at rest and the growth of their cost', parser => parser.options(outOption), async ({out}) => measureAndReport(['rest'], out))
		.command('accounts', 'Publication and rest at growing numbers of accounts', parser => parser.options(outOption), async ({out}) => measureAndReport(['accounts'], out))
		.command('slopes', 'Memory and processor time of the pure parts', parser => parser.options(outOption), async ({out}) => measureAndReport(['slopes'], out))
		.command('slope <name> <size>', 'One slope at one size; needs node --expose-gc', parser => parser
			.positional('name', {type: 'string', demandOption: true})
			.positional('size', {type: 'number', demandOption: true}), async ({name, size}) => printSlope(name, size))
		.command('stand-ins', 'Run platform, engine and service until SIGTERM', parser => parser
			.option('step-ms', {type: 'number', default: 5})
			.option('max-running', {type: 'number', default: 16}), async shape => runStandIns(shape))
		.demandCommand(1)
		.strict()
		.fail((message, error) => {
			exitCode = 1;
			process.stderr.write(`${message ?? error?.stack ?? String(error)}\n`);
		})
		.parseAsync();
	return exitCode;
};
