/**
 * Prints figures as a table and keeps them as JSON.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import type {Report} from './path-measurements.js';

const significantDigits = 4;

/** A figure with four significant digits and without an exponent. */
export const formatFigure = (value: number): string => {
	if (!Number.isFinite(value)) {
		return String(value);
	}

	return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(significantDigits)));
};

/** One row per figure, in Markdown. */
export const formatTable = (report: Report): string => {
	const rows = Object.entries(report).flatMap(([name, figures]) =>
		Object.entries(figures).map(([figure, value]) => `| ${name} | ${figure} | ${formatFigure(value)} |`));
	return ['| measurement | figure | value |', '| --- | --- | --- |', ...rows].join('\n');
};

/** Writes the report with the conditions under which it was made. */
export const writeReport = async (path: string, conditions: Readonly<Record<string, unknown>>, report: Report): Promise<void> => {
	await mkdir(dirname(path), {recursive: true});
	await writeFile(path, `${JSON.stringify({conditions, report}, undefined, '\t')}\n`);
};
