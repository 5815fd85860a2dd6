/**
 * Builds the engines of a deployment.
 */
import type {EngineRole} from '@hawthorncleat/core';
import {
	deskRates, engineRates, platform, type Deployment,
} from '../deployments.js';
import {FakeEngine, type EngineParts} from './engine.js';

/** Names of the deployment's data centres. */
export const listDataCentres = ({runners}: Deployment): string[] => runners.map((_, index) => `dc${index}`);

type CreateParts = () => EngineParts;

const createEngine = (id: string, dataCentre: string, role: EngineRole, createParts: CreateParts): FakeEngine => new FakeEngine({
	id,
	dataCentre,
	rates: role === 'service' ? deskRates : engineRates,
	kvCapacityTokens: platform.kvCapacityTokens,
	changeMs: platform.roleChangeMs,
}, role, createParts());

const placesOf = (counts: readonly number[]): Array<{dataCentre: string; rank: number}> =>
	counts.flatMap((count, index) => Array.from({length: count}, (_, rank) => ({dataCentre: `dc${index}`, rank})));

/** Creates runners and desk endpoints. Roles are dealt out across the data centres, so that each gets its part of a split. */
export const createEngines = (
	deployment: Deployment,
	initialRole: (index: number, count: number) => EngineRole,
	createParts: CreateParts,
): FakeEngine[] => {
	const places = placesOf(deployment.runners).toSorted((a, b) => a.rank - b.rank);
	const runners = places.map(({dataCentre, rank}, index) =>
		createEngine(`${dataCentre}-runner${rank}`, dataCentre, initialRole(index, places.length), createParts));
	const desks = placesOf(deployment.desks).map(({dataCentre, rank}) =>
		createEngine(`${dataCentre}-desk${rank}`, dataCentre, 'service', createParts));
	return [...runners, ...desks];
};
