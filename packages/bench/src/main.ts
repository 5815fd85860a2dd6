/**
 * Command line of the benchmark.
 */
import yargs from 'yargs';
import {runOnThreads, type RunTasks} from './pool.js';
import {writeReport} from './report.js';
import {runSuite} from './suite.js';
import {formatResult} from './table.js';

/** Parses the arguments and runs the benchmark; the date is passed in for the page. */
export const main = async (args: readonly string[], date: string): Promise<void> => {
	const options = await yargs(args)
		.scriptName('bench')
		.option('seeds', {type: 'number', default: 20, describe: 'runs of each strategy on each workload'})
		.option('threads', {type: 'number', default: 4, describe: 'worker threads'})
		.option('out', {type: 'string', default: 'docs/bench', describe: 'folder for JSON, plots and page'})
		.strict()
		.parseAsync();
	const runTasks: RunTasks = async tasks => runOnThreads(tasks, options.threads);
	const result = await runSuite(options.seeds, runTasks);
	console.log(formatResult(result));
	await writeReport(result, options.out, `npm run bench -- --seeds ${options.seeds}`, date);
};
