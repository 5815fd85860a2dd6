/**
 * What the path adds to an answer and what it costs: latency, processor time per request and token, open streams, and
 * writes per action.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {
	placeOrder, runConcurrently, streamAnswer, type Question, type Target,
} from './caller.js';
import {retryUntil} from './child-process.js';
import {withFleet, type Fleet} from './fleet.js';
import {splitRequestCost} from './line-fit.js';
import {subtractCounts} from './platform-traffic.js';
import {readCpuMs, readResidentBytes} from './process-usage.js';
import type {Figures} from './slopes.js';

/** Figures by name of the measurement. */
export type Report = Readonly<Record<string, Figures>>;

const usPerMs = 1000;
const msPerSecond = 1000;
const bytesPerMegabyte = 1e6;
const settleMs = 3000;

const createHistogram = (): Histogram => build({numberOfSignificantValueDigits: 3, highestTrackableValue: 60_000_000});

const record = (histogram: Histogram, valueMs: number): void => {
	histogram.recordValue(Math.max(0, Math.round(valueMs * usPerMs)));
};

type Latencies = {readonly first: Histogram; readonly gaps: Histogram};

const summarize = (histogram: Histogram): {readonly p50: number; readonly p95: number; readonly p99: number} => ({
	p50: histogram.getValueAtPercentile(50) / usPerMs,
	p95: histogram.getValueAtPercentile(95) / usPerMs,
	p99: histogram.getValueAtPercentile(99) / usPerMs,
});

const compare = (direct: Histogram, path: Histogram): Figures => {
	const [a, b] = [summarize(direct), summarize(path)];
	return {
		samples: path.totalCount,
		directP50Ms: a.p50,
		pathP50Ms: b.p50,
		addedP50Ms: b.p50 - a.p50,
		directP95Ms: a.p95,
		pathP95Ms: b.p95,
		addedP95Ms: b.p95 - a.p95,
		directP99Ms: a.p99,
		pathP99Ms: b.p99,
		addedP99Ms: b.p99 - a.p99,
	};
};

const runTimed = async (target: Target, question: Question, {first, gaps}: Latencies): Promise<void> => {
	const timing = await streamAnswer(target, question);
	record(first, timing.firstTokenMs);
	for (const gap of timing.gapsMs) {
		record(gaps, gap);
	}
};

const targetsOf = (fleet: Fleet): {readonly direct: Target; readonly path: Target} => ({
	direct: {format: 'engine', url: fleet.engineUrl}, path: {format: 'events', url: fleet.callerUrl},
});

const warmUpRequests = 100;
const latencyPairs = 600;
const latencyCallers = 4;
const latencyQuestion: Question = {maxTokens: 24, promptWords: 50};

/** Each caller asks the engine directly and then through the path, so that both see the same load. */
const measureLatency = async (fleet: Fleet): Promise<Report> => {
	const {direct, path} = targetsOf(fleet);
	await runConcurrently(latencyCallers, warmUpRequests, async () => {
		await streamAnswer(direct, latencyQuestion);
		await streamAnswer(path, latencyQuestion);
	});
	const directly: Latencies = {first: createHistogram(), gaps: createHistogram()};
	const through: Latencies = {first: createHistogram(), gaps: createHistogram()};
	await runConcurrently(latencyCallers, latencyPairs, async () => {
		await runTimed(direct, latencyQuestion, directly);
		await runTimed(path, latencyQuestion, through);
	});
	return {
		'first token': compare(directly.first, through.first),
		'between tokens': compare(directly.gaps, through.gaps),
	};
};

type Cost = {readonly entryMs: number; readonly agentMs: number};

const readCost = async ({entry, agent}: Fleet): Promise<Cost> => ({entryMs: await readCpuMs(entry.pid), agentMs: await readCpuMs(agent.pid)});

const costRequests = 600;
const costCallers = 24;

const measureRequestCost = async (fleet: Fleet, tokens: number): Promise<Cost & {readonly tokens: number}> => {
	const {path} = targetsOf(fleet);
	const before = await readCost(fleet);
	await runConcurrently(costCallers, costRequests, async () => {
		await streamAnswer(path, {maxTokens: tokens, promptWords: 50});
	});
	const after = await readCost(fleet);
	return {tokens, entryMs: (after.entryMs - before.entryMs) / costRequests, agentMs: (after.agentMs - before.agentMs) / costRequests};
};

const costSizes = [4, 64, 200] as const;

const split = (costs: ReadonlyArray<Cost & {readonly tokens: number}>, part: keyof Cost): Figures => {
	const {perRequestMs, perTokenMs} = splitRequestCost(costs.map(cost => ({tokensPerRequest: cost.tokens, cpuMsPerRequest: cost[part]})));
	return {
		cpuUsPerRequest: perRequestMs * usPerMs,
		cpuUsPerToken: perTokenMs * usPerMs,
		requestsPerSecondPerCoreOf64Tokens: msPerSecond / (perRequestMs + (64 * perTokenMs)),
		tokensPerSecondPerCore: msPerSecond / perTokenMs,
		...Object.fromEntries(costs.map(cost => [`cpuMsOf${cost.tokens}Tokens`, cost[part]])),
	};
};

const measureCosts = async (fleet: Fleet): Promise<Report> => {
	const costs: Array<Cost & {readonly tokens: number}> = [];
	for (const tokens of costSizes) {
		costs.push(await measureRequestCost(fleet, tokens));
	}

	return {'entry: requests': split(costs, 'entryMs'), 'agent: requests': split(costs, 'agentMs')};
};

const actionSeconds = 8;

/** Orders start at a fixed rate, whether or not earlier ones were answered. */
const measureActions = async (fleet: Fleet, perSecond: number): Promise<Figures> => {
	const before = fleet.entry.relay.totals();
	const cpuBefore = await readCpuMs(fleet.entry.pid);
	const orders: Array<Promise<void>> = [];
	for (let index = 0; index < actionSeconds * perSecond; index++) {
		orders.push(placeOrder(fleet.callerUrl));
		await sleep(msPerSecond / perSecond);
	}

	await Promise.all(orders);
	await sleep(msPerSecond);
	const after = fleet.entry.relay.totals();
	const counts = subtractCounts(after.counts, before.counts);
	return {
		actions: orders.length,
		tableWritesPerAction: counts.tableWrites / orders.length,
		tableReads: counts.tableReads,
		platformBytesPerAction: (after.bytes - before.bytes) / orders.length,
		entryCpuMsPerAction: (await readCpuMs(fleet.entry.pid) - cpuBefore) / orders.length,
	};
};

const openStreams = 1000;
// Some seconds of tokens, so that memory of the start has been collected.
const openMs = 10_000;
const streamShape = {stepMs: 1000, maxRunning: 1100};

const readMemory = async ({entry, agent}: Fleet): Promise<{readonly entry: number; readonly agent: number}> => ({
	entry: await readResidentBytes(entry.pid) / bytesPerMegabyte, agent: await readResidentBytes(agent.pid) / bytesPerMegabyte,
});

/** Resident memory before and while a thousand answers are streamed, with 500 words of prompt each. */
const measureOpenStreams = async (): Promise<Report> => withFleet(streamShape, async fleet => {
	const {path} = targetsOf(fleet);
	await sleep(settleMs);
	const idle = await readMemory(fleet);
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	const started = new Set<number>();
	const streams = Array.from({length: openStreams}, async (_, index) => {
		await streamAnswer(path, {maxTokens: 120, promptWords: 500}, () => {
			started.add(index);
		}, controller.signal).catch(() => {/* The streams are given up at the end. */});
	});
	await retryUntil(async () => {
		if (started.size < openStreams) {
			throw new Error(`only ${started.size} of ${openStreams} streams have begun`);
		}
	});
	await sleep(openMs);
	const open = await readMemory(fleet);
	controller.abort();
	await Promise.all(streams);
	const figuresOf = (part: 'entry' | 'agent'): Figures => ({
		streams: started.size, idleMegabytes: idle[part], openMegabytes: open[part], kilobytesPerStream: (open[part] - idle[part]) * msPerSecond / started.size,
	});
	return {'entry: open streams': figuresOf('entry'), 'agent: open streams': figuresOf('agent')};
});

const pathShape = {stepMs: 5, maxRunning: 256};
const actionRates = [20, 400] as const;

/** Everything about requests. */
export const measurePath = async (): Promise<Report> => {
	const report = await withFleet(pathShape, async fleet => {
		const latency = await measureLatency(fleet);
		const costs = await measureCosts(fleet);
		const actions: Record<string, Figures> = {};
		for (const rate of actionRates) {
			actions[`actions at ${rate}/s`] = await measureActions(fleet, rate);
		}

		return {...latency, ...costs, ...actions};
	});
	return {...report, ...await measureOpenStreams()};
};
