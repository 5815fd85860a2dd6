/**
 * The role planner under test: the decisions of `@hawthorncleat/core` as the entries' duty calls them.
 */
import {
	countRoles, defaultRolePlanOptions, planRoles, type RolePlanMemory,
} from '@hawthorncleat/core';
import type {MeteringEntry, Planner, PlannerView} from './strategy.js';

// Size of a prefix in the cache where only its name is reported.
const assumedPrefixTokens = 1000;

/** Plans the roles of one data centre with the reports that one of its entries has. */
export const createRolePlanner = (): Planner => {
	const memories = new Map<string, RolePlanMemory>();
	return (view: PlannerView) => {
		const known = view.endpoints.flatMap(endpoint => endpoint.reading && endpoint.reading.role !== 'service'
			? [{...endpoint, reading: endpoint.reading}]
			: []);
		const local = known.filter(({dataCentre}) => dataCentre === view.dataCentre);
		const elsewhere = known.filter(({dataCentre, reachable}) => dataCentre !== view.dataCentre && reachable);
		const rates = local[0]?.rates;
		if (!rates) {
			return [];
		}

		const plan = planRoles({
			nowMs: view.nowMs,
			model: {rates, maxMsPerToken: view.target.maxMsPerToken},
			engines: local.map(({id, reading}) => ({
				id,
				role: reading.role,
				isChanging: view.changing.has(id),
				cachedTokens: reading.prefixes.length * assumedPrefixTokens,
				runningTokens: view.kvCapacityTokens - reading.freeTokens,
			})),
			otherEngines: countRoles(elsewhere.map(({reading}) => reading.role)),
			demand: (view.entry as MeteringEntry).demand(view.nowMs),
			rank: view.dataCentres.indexOf(view.dataCentre),
			memory: memories.get(view.dataCentre) ?? {},
			options: defaultRolePlanOptions,
		});
		memories.set(view.dataCentre, plan.memory);
		return plan.change ? [plan.change] : [];
	};
};
