/**
 * Generates the requests of a run from a workload and a seed.
 */
import {decodeTokensPerSecond, defaultLatencyTarget, type Random} from '@hawthorncleat/core';
import {deskRates, engineRates, type Deployment} from './deployments.js';
import type {SimRequest} from './sim/job.js';
import {
	createRandom, drawExponential, drawIndex, drawLogNormal,
} from './sim/random.js';
import {
	accountWeights, desk, maxTokensFactor, rampMs, sizeSigma, type Mix, type Workload,
} from './workloads.js';

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Engine-seconds of one request on engines that do one stage only. */
export const engineSeconds = (promptTokens: number, outputTokens: number): number =>
	(promptTokens / engineRates.prefillTokensPerSecond)
	+ (outputTokens / decodeTokensPerSecond(engineRates, defaultLatencyTarget.maxMsPerToken));

/** Length of a run. */
export const runMs = (workload: Workload): number => sum(workload.phases.map(({durationMs}) => durationMs));

/** Index of the phase at a time. */
export const phaseAt = (workload: Workload, atMs: number): number => {
	let endMs = 0;
	const index = workload.phases.findIndex(({durationMs}) => {
		endMs += durationMs;
		return atMs < endMs;
	});
	return index === -1 ? workload.phases.length - 1 : index;
};

/** Mean sizes at a time; the first seconds of a phase still lead from the phase before. */
export const mixAt = (workload: Workload, atMs: number): Mix => {
	const index = phaseAt(workload, atMs);
	const startMs = sum(workload.phases.slice(0, index).map(({durationMs}) => durationMs));
	const {mix} = workload.phases[index]!;
	const before = workload.phases[Math.max(0, index - 1)]!.mix;
	const part = Math.min(1, (atMs - startMs) / rampMs);
	return {
		promptTokens: before.promptTokens + ((mix.promptTokens - before.promptTokens) * part),
		outputTokens: before.outputTokens + ((mix.outputTokens - before.outputTokens) * part),
	};
};

const isBurst = ({burst}: Workload, atMs: number): boolean =>
	burst !== undefined && atMs >= burst.fromMs && atMs < burst.toMs;

const weightsAt = (workload: Workload, atMs: number): readonly number[] => isBurst(workload, atMs)
	? accountWeights.map((weight, account) => account === workload.burst!.account ? weight * workload.burst!.factor : weight)
	: accountWeights;

/** Model requests a second at a time. */
export const rateAt = (workload: Workload, deployment: Deployment, atMs: number): number => {
	const mix = mixAt(workload, atMs);
	const {prefixes} = workload;
	const cached = prefixes ? prefixes.part * prefixes.tokens * prefixes.assumedHits : 0;
	const perSecond = workload.load * sum(deployment.runners) / engineSeconds(mix.promptTokens - cached, mix.outputTokens);
	return perSecond * sum(weightsAt(workload, atMs)) / sum(accountWeights);
};

const drawPrefix = (workload: Workload, random: Random): SimRequest['prefix'] => {
	const {prefixes} = workload;
	if (!prefixes || random() >= prefixes.part) {
		return undefined;
	}

	const index = drawIndex(random, Array.from({length: prefixes.count}, (_, rank) => 1 / (rank + 1)));
	return {prefix: `prefix-${index}`, tokens: prefixes.tokens};
};

const drawModelRequest = (workload: Workload, entries: number, atMs: number, random: Random): SimRequest => {
	const mix = mixAt(workload, atMs);
	const account = drawIndex(random, weightsAt(workload, atMs));
	const prefix = drawPrefix(workload, random);
	const ownTokens = mix.promptTokens - (workload.prefixes ? workload.prefixes.part * workload.prefixes.tokens : 0);
	const promptTokens = Math.max(1, Math.round(drawLogNormal(random, ownTokens, sizeSigma))) + (prefix?.tokens ?? 0);
	const outputTokens = Math.max(2, Math.round(drawLogNormal(random, mix.outputTokens, sizeSigma)));
	return {
		id: '',
		kind: 'model',
		account,
		weight: accountWeights[account]!,
		entry: Math.floor(random() * entries),
		arrivedMs: atMs,
		promptTokens,
		outputTokens,
		maxTokens: Math.round(outputTokens * (1 + (random() * (maxTokensFactor - 1)))),
		prefix,
	};
};

const generateModel = (workload: Workload, deployment: Deployment, random: Random): SimRequest[] => {
	const entries = deployment.runners.length * deployment.entriesPerDataCentre;
	const requests: SimRequest[] = [];
	let atMs = 0;
	for (;;) {
		atMs += drawExponential(random, 1000 / rateAt(workload, deployment, atMs));
		if (atMs >= runMs(workload)) {
			return requests;
		}

		requests.push(drawModelRequest(workload, entries, atMs, random));
	}
};

const generateDesk = (workload: Workload, deployment: Deployment, random: Random): SimRequest[] => {
	const entries = deployment.runners.length * deployment.entriesPerDataCentre;
	const perSecond = desk.load * sum(deployment.desks) * deskRates.prefillTokensPerSecond / desk.units;
	const requests: SimRequest[] = [];
	for (let atMs = 0; atMs < runMs(workload); atMs += drawExponential(random, 1000 / perSecond)) {
		const account = drawIndex(random, accountWeights);
		requests.push({
			id: '',
			kind: 'desk',
			account,
			weight: accountWeights[account]!,
			entry: Math.floor(random() * entries),
			arrivedMs: atMs,
			promptTokens: Math.max(1, Math.round(drawLogNormal(random, desk.units, sizeSigma))),
			outputTokens: 1,
			maxTokens: 1,
		});
	}

	return requests;
};

/** All requests of a run in order of arrival. The desk calls come from a random stream of their own. */
export const generateRequests = (workload: Workload, deployment: Deployment, seed: number): SimRequest[] => [
	...generateModel(workload, deployment, createRandom(seed, 1)),
	...generateDesk(workload, deployment, createRandom(seed, 2)),
].toSorted((a, b) => a.arrivedMs - b.arrivedMs).map((request, index) => ({...request, id: String(index)}));
