/**
 * SVG line plots of a figure over the time of a run.
 */

export type Series = {readonly name: string; readonly values: readonly number[]};

export type Plot = {
	readonly title: string;
	readonly unit: string;
	/** Time between two values in seconds. */
	readonly stepSeconds: number;
	/** Times of vertical lines in seconds, such as the ends of phases. */
	readonly marksSeconds: readonly number[];
	readonly series: readonly Series[];
};

const width = 900;
const height = 320;
const margin = {
	left: 50, right: 230, top: 30, bottom: 40,
};
const colours = ['#1b6ca8', '#c0392b', '#7f8c8d', '#d68910', '#1e8449', '#7d3c98'];

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

const text = (x: number, y: number, content: string, anchor = 'start'): string =>
	`<text x="${x.toFixed(0)}" y="${y.toFixed(0)}" text-anchor="${anchor}">${escape(content)}</text>`;

const line = (from: readonly [number, number], to: readonly [number, number], stroke: string): string =>
	`<line x1="${from[0].toFixed(1)}" y1="${from[1].toFixed(1)}" x2="${to[0].toFixed(1)}" y2="${to[1].toFixed(1)}" stroke="${stroke}"/>`;

const roundSteps = [1, 2, 2.5, 5, 10];
const minLevels = 4;

/** Round values from zero to at least `highest`, for the labels of an axis. */
export const roundLevels = (highest: number): number[] => {
	const least = Math.max(highest, 1e-9) / minLevels;
	const magnitude = 10 ** Math.floor(Math.log10(least));
	const step = magnitude * roundSteps.find(factor => factor * magnitude >= least)!;
	const count = Math.ceil(highest / step);
	return Array.from({length: count + 1}, (_, index) => index * step);
};

/** Renders a plot as an SVG document. */
export const renderPlot = (plot: Plot): string => {
	const steps = Math.max(...plot.series.map(({values}) => values.length));
	const seconds = steps * plot.stepSeconds;
	const levels = roundLevels(Math.max(1e-9, ...plot.series.flatMap(({values}) => values)));
	const top = levels.at(-1)!;
	const x = (second: number): number => margin.left + (second / seconds * (width - margin.left - margin.right));
	const y = (value: number): number => height - margin.bottom - (value / top * (height - margin.top - margin.bottom));
	const minutes = Array.from({length: Math.floor(seconds / 60) + 1}, (_, minute) => minute);
	const curves = plot.series.map(({values}, index) => {
		const points = values.map((value, step) => `${x((step + 0.5) * plot.stepSeconds).toFixed(1)},${y(value).toFixed(1)}`);
		return `<polyline fill="none" stroke="${colours[index % colours.length]!}" stroke-width="1.5" points="${points.join(' ')}"/>`;
	});
	const legend = plot.series.map(({name}, index) => {
		const row = margin.top + 10 + (index * 18);
		const start = width - margin.right + 10;
		return line([start, row - 4], [start + 20, row - 4], colours[index % colours.length]!) + text(start + 26, row, name);
	});
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
		'<rect width="100%" height="100%" fill="white"/>',
		text(margin.left, 16, `${plot.title} (${plot.unit})`),
		...levels.map(level => line([margin.left, y(level)], [width - margin.right, y(level)], '#eeeeee') + text(margin.left - 6, y(level) + 4, String(Number(level.toPrecision(3))), 'end')),
		...plot.marksSeconds.map(mark => line([x(mark), margin.top], [x(mark), height - margin.bottom], '#999999')),
		...minutes.map(minute => text(x(minute * 60), height - margin.bottom + 16, String(minute), 'middle')),
		text((width - margin.right) / 2, height - 8, 'minutes'),
		...curves,
		...legend,
		'</svg>',
		'',
	].join('\n');
};
