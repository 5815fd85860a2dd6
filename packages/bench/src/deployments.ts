/**
 * The two deployments of today at their real sizes, and the speeds of the fake engines.
 */
import type {EngineRates} from '@hawthorncleat/core';

export type Deployment = {
	readonly name: string;
	/** Engines that run a model, by data centre. */
	readonly runners: readonly number[];
	/** Endpoints of the desk service, by data centre. */
	readonly desks: readonly number[];
	readonly entriesPerDataCentre: number;
};

export const deployments: readonly Deployment[] = [
	{
		name: 'haugland-fylling', runners: [2, 2, 2], desks: [1, 1, 1], entriesPerDataCentre: 2,
	},
	{
		name: 'mavuno-pallet-books', runners: [4, 3, 3, 3], desks: [1, 1, 1, 1], entriesPerDataCentre: 2,
	},
];

/**
 * Speeds of a fake engine, assumed and not measured. A full batch decodes 1,400 tokens/s at 46 ms a token; a mixed engine
 * with prompts waiting takes 41 ms for a step and 0.4 ms more for each running request.
 */
export const engineRates: EngineRates = {
	prefillTokensPerSecond: 12_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};

/** A desk endpoint does 1,000 units of work a second, one call at a time. */
export const deskRates: EngineRates = {
	prefillTokensPerSecond: 1000, stepMs: 0, stepMsPerRequest: 0, chunkTokens: 1, maxRunning: 1,
};

/** Properties of the simulated platform. Distances are round trips. */
export const platform = {
	localDistanceMs: 0.2,
	betweenDataCentresMs: 1,
	kvCapacityTokens: 256_000,
	kvTransferTokensPerMs: 200,
	prefixCacheTokens: 60_000,
	roleChangeMs: 6000,
	reportIntervalMs: 1000,
	reportLagMs: 2000,
	lostCacheEvents: 0.1,
	silenceLimitMs: 3000,
	crashNoticeMs: 50,
};
