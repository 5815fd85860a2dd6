/**
 * Writes the results of a benchmark: JSON, plots and the page that shows them.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {defaultLatencyTarget} from '@hawthorncleat/core';
import {renderPlot, type Plot} from './plot.js';
import {bucketMs} from './run.js';
import type {SuiteResult} from './suite.js';
import type {Summary} from './summary.js';
import {formatResult} from './table.js';
import {workloads, type Workload} from './workloads.js';

const plotted = new Set(['swinging mix', 'burst of one account', 'engine lost in mid-change', 'data centre cut off', 'table down']);

const fileName = (deployment: string, workload: string, figure: string): string =>
	`${deployment}-${workload.replaceAll(' ', '-')}-${figure}.svg`;

const marksOf = ({phases, burst, faults}: Workload): number[] => {
	const ends = phases.map((_, index) => phases.slice(0, index + 1).reduce((sum, {durationMs}) => sum + durationMs, 0));
	const faultTimes = [burst, faults.tableDown, faults.cutOff].flatMap(fault => fault ? [fault.fromMs, fault.toMs] : []);
	return [...ends, ...faultTimes].map(timeMs => timeMs / 1000);
};

const createPlots = (workload: Workload, summaries: readonly Summary[], deployment: string): Map<string, Plot> => {
	const base = {stepSeconds: bucketMs / 1000, marksSeconds: marksOf(workload)};
	const title = `${deployment}, ${workload.name}`;
	return new Map([
		[fileName(deployment, workload.name, 'goodput'), {
			...base,
			title,
			unit: 'answers on time a second',
			series: summaries.map(({strategy, onTimePerSecond}) => ({name: strategy, values: onTimePerSecond})),
		}],
		[fileName(deployment, workload.name, 'role-changes'), {
			...base,
			title,
			unit: 'role changes in 10 s',
			series: summaries
				.filter(({roleChanges}) => roleChanges.max > 0)
				.map(({strategy, roleChangesByBucket}) => ({name: strategy, values: roleChangesByBucket})),
		}],
	].filter(([, plot]) => (plot as Plot).series.length > 0) as Array<[string, Plot]>);
};

const collectPlots = (result: SuiteResult): Map<string, Plot> => {
	const plots = new Map<string, Plot>();
	for (const deployment of new Set(result.summaries.map(({deployment}) => deployment))) {
		for (const workload of workloads.filter(({name}) => plotted.has(name))) {
			const summaries = result.summaries.filter(summary =>
				summary.deployment === deployment && (summary.workload === workload.name
					|| (workload.name === 'table down' && summary.workload === 'table up')));
			const named = workload.name === 'table down'
				? summaries.map(summary => ({...summary, strategy: summary.workload}))
				: summaries;
			for (const [name, plot] of createPlots(workload, named, deployment)) {
				plots.set(name, plot);
			}
		}
	}

	return plots;
};

const seedsOf = (runs: number): string =>
	workloads.map(({name, seed}) => `${name} ${seed} to ${seed + runs - 1}`).join(', ');

const createPage = (result: SuiteResult, plots: Iterable<string>, command: string, date: string): string => `# Policy benchmark

This page is written by \`${command}\`. Date of the run: ${date}. Seeds: ${seedsOf(result.runs)}.

The decision code of \`@hawthorncleat/core\` runs against small fake engines on an injected clock. The speeds of the
engines are assumed, not measured: the figures compare strategies and do not predict a real fleet. Clients do not
repeat refused requests.

An answer is on time when its first token comes within ${defaultLatencyTarget.firstTokenMs} ms plus
${defaultLatencyTarget.firstTokenMsPerPromptToken * 1000} ms for each thousand prompt tokens, and the mean time between tokens is at most
${defaultLatencyTarget.maxMsPerToken} ms (\`packages/core/src/policy/targets.ts\`). Tokens are prompt and output tokens of these answers.
Values are means over ${result.runs} seeds with their standard deviation. A missed bound stays in the table as missed.

The three baselines queue first-in first-out, bounded by the agent's default of 65,536 waiting tokens. The strategies
named \`split\` use the choice and admission under test with fixed roles (p prefill, d decode, the rest mixed). The ceiling
takes the best of these splits for each phase with hindsight:
${Object.entries(result.ceilingSplits).map(([deployment, splits]) => `${deployment}: ${splits.join(', ')}`).join('; ')}.
An account's entitlement is its weighted max-min fair part of the work served on time, at most what it asked for; the
accounts are compared during the burst where there is one. Each phase of the swinging mix counts as one swing, the first
one as the swing from the initial roles. The fleets keep their sizes, so endpoint-hours are equal; \`planEndpoints\` does
not run here.

${formatResult(result)}

## Plots

Grey lines mark the ends of phases and the beginning and end of bursts and faults.

${[...plots].map(name => `![${name}](${name})`).join('\n\n')}
`;

/** Writes everything into the folder. */
export const writeReport = async (result: SuiteResult, folder: string, command: string, date: string): Promise<void> => {
	const plots = collectPlots(result);
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, 'results.json'), `${JSON.stringify({command, date, ...result}, undefined, '\t')}\n`);
	await writeFile(path.join(folder, 'README.md'), createPage(result, plots.keys(), command, date));
	for (const [name, plot] of plots) {
		await writeFile(path.join(folder, name), renderPlot(plot));
	}
};
