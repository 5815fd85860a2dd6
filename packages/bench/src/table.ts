/**
 * Text tables of a benchmark's results.
 */
import type {SuiteResult} from './suite.js';
import type {Spread, Summary} from './summary.js';

type Column = readonly [title: string, cell: (summary: Summary) => string];

const withSpread = ({mean, deviation}: Spread, digits: number): string => `${mean.toFixed(digits)} ±${deviation.toFixed(digits)}`;

const columns: readonly Column[] = [
	['workload', ({workload}) => workload],
	['strategy', ({strategy}) => strategy],
	['requests on time', ({onTimeRequests}) => withSpread(onTimeRequests, 3)],
	['tokens on time', ({onTimeTokens}) => withSpread(onTimeTokens, 3)],
	['worst/mean entitled', ({worstAccount}) => withSpread(worstAccount, 3)],
	['worst/mean plain', ({worstAccountPlain}) => withSpread(worstAccountPlain, 3)],
	['role changes', ({roleChanges}) => withSpread(roleChanges, 1)],
	['endpoint-hours', ({endpointHours}) => endpointHours.mean.toFixed(2)],
	['refused', ({refused}) => withSpread(refused, 0)],
	['refusal ms p50/p99', ({refusalMedianMs, refusalP99Ms}) => `${refusalMedianMs.mean.toFixed(0)}/${refusalP99Ms.mean.toFixed(0)}`],
	['late', ({late}) => late.mean.toFixed(0)],
	['lost', ({lost}) => lost.mean.toFixed(0)],
	['desk on time', ({deskOnTime}) => deskOnTime.mean.toFixed(3)],
];

const row = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;

/** Pads the cells, so that the table reads well as plain text and as Markdown. */
const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(cells => cells[column]!.length)));
	const padded = rows.map(cells => row(cells.map((cell, column) => cell.padEnd(widths[column]!))));
	const line = row(widths.map(width => '-'.repeat(width)));
	return [padded[0]!, line, ...padded.slice(1)].join('\n');
};

const deploymentTable = (summaries: readonly Summary[]): string => formatTable([
	columns.map(([title]) => title),
	...summaries.map(summary => columns.map(([, cell]) => cell(summary))),
]);

const boundTable = ({bounds, notes}: SuiteResult): string => formatTable([
	['deployment', 'bound', 'value', 'limit', 'result'],
	...bounds.map(({deployment, name, value, kind, limit, reached}) =>
		[deployment, name, withSpread(value, 3), `${kind} ${limit}`, reached ? 'reached' : 'missed']),
	...notes.map(({deployment, name, value}) => [deployment, name, withSpread(value, 3), '', '']),
]);

/** All tables of a result, as Markdown. */
export const formatResult = (result: SuiteResult): string => {
	const names = [...new Set(result.summaries.map(({deployment}) => deployment))];
	const tables = names.map(name =>
		`### ${name}\n\n${deploymentTable(result.summaries.filter(({deployment}) => deployment === name))}`);
	return [...tables, `### Bounds\n\n${boundTable(result)}`].join('\n\n');
};
