/**
 * The workloads, each with the seed that its runs start from: run `n` uses `seed + n`. The offered load of a phase is
 * `load` times what the fleet could serve at the phase's mean sizes if each engine did one stage only, without any loss
 * at the borders. Sizes are log-normal, arrivals are Poisson.
 */

/** Mean sizes of the requests of one phase. */
export type Mix = {readonly promptTokens: number; readonly outputTokens: number};

export type Phase = {readonly durationMs: number; readonly mix: Mix};

/** Faults of a run; times from its start. */
export type Faults = {
	/** No planner acts between these times. */
	readonly tableDown?: {readonly fromMs: number; readonly toMs: number};
	/** The first engine that begins a change after this time crashes 2 s later; without a change the first engine does. */
	readonly engineLost?: {readonly fromMs: number; readonly latestMs: number; readonly backAfterMs: number};
	/** The last data centre and the others do not reach each other between these times. */
	readonly cutOff?: {readonly fromMs: number; readonly toMs: number};
};

export type Burst = {readonly account: number; readonly factor: number; readonly fromMs: number; readonly toMs: number};

export type SharedPrefixes = {
	readonly count: number;
	readonly tokens: number;
	/** Part of the requests that begin with one of the prefixes; the first prefixes are the most frequent. */
	readonly part: number;
	/** Part of the prefix tokens that the offered load takes as cached. */
	readonly assumedHits: number;
};

export type Workload = {
	readonly name: string;
	readonly seed: number;
	readonly load: number;
	readonly phases: readonly Phase[];
	readonly burst?: Burst;
	readonly prefixes?: SharedPrefixes;
	readonly faults: Faults;
};

/** Client accounts with their weights, which are also their shares of the requests: three of eight are large. */
export const accountWeights: readonly number[] = [6, 5, 4, 1, 1, 1, 1, 1];

/** Time over which the mix moves from that of one phase to that of the next. */
export const rampMs = 20_000;

/** Spread of the sizes: standard deviation of their logarithm. */
export const sizeSigma = 0.5;

/** The caller's token limit is the output times a factor between 1 and this one. */
export const maxTokensFactor = 2;

/** Desk calls: part of the desk endpoints' rate, and work of a call in units. */
export const desk = {load: 0.6, units: 60};

const promptHeavy: Mix = {promptTokens: 3000, outputTokens: 120};
const outputHeavy: Mix = {promptTokens: 600, outputTokens: 480};
const even: Mix = {promptTokens: 1500, outputTokens: 250};
const minute = 60_000;

const swing = (phaseMinutes: number, count: number): Phase[] => Array.from({length: count}, (_, index) => ({
	durationMs: phaseMinutes * minute,
	mix: index % 2 === 0 ? promptHeavy : outputHeavy,
}));

export const workloads: readonly Workload[] = [
	{
		name: 'swinging mix', seed: 1000, load: 0.9, phases: swing(3, 4), faults: {},
	},
	{
		name: 'burst of one account',
		seed: 2000,
		load: 0.8,
		phases: [{durationMs: 6 * minute, mix: even}],
		burst: {
			account: 0, factor: 4, fromMs: 2 * minute, toMs: 4 * minute,
		},
		faults: {},
	},
	{
		name: 'shared prefixes',
		seed: 3000,
		load: 0.9,
		phases: [{durationMs: 6 * minute, mix: {promptTokens: 2500, outputTokens: 150}}],
		prefixes: {
			count: 60, tokens: 1800, part: 0.7, assumedHits: 0.5,
		},
		faults: {},
	},
	{
		name: 'engine lost in mid-change',
		seed: 4000,
		load: 0.8,
		phases: swing(3, 3),
		faults: {engineLost: {fromMs: 3 * minute, latestMs: 4 * minute, backAfterMs: 2 * minute}},
	},
	{
		name: 'data centre cut off',
		seed: 5000,
		load: 0.8,
		phases: swing(3, 3),
		faults: {cutOff: {fromMs: 2 * minute, toMs: 5 * minute}},
	},
	{
		name: 'table up',
		seed: 6000,
		load: 0.9,
		phases: swing(3, 5),
		faults: {},
	},
	{
		name: 'table down',
		seed: 6000,
		load: 0.9,
		phases: swing(3, 5),
		faults: {tableDown: {fromMs: 2 * minute, toMs: 13 * minute}},
	},
];
