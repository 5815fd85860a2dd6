/**
 * Chooses the engine that changes its role. A stream gets the pace of its one engine, while prompts are shared out among all engines that
 * prefill, so the quick engines decode: the largest answers end in time only there. Answers the load of many long answers at few engines of
 * different speed.
 */
import {findNearFastest, findNearSlowest} from '../similar-latencies.js';
import type {EndpointRole} from './deployment.js';

/** An engine that could change its role. */
export type RoleCandidate = {
	readonly endpoint: string;
	readonly dataCentre: string;
	readonly running: number;
	/** Pace in the role that it has. */
	readonly msPerToken: number;
};

/** Engines that are about as fast as the one that suits the role best. */
const findSuited = (candidates: readonly RoleCandidate[], role: EndpointRole): RoleCandidate[] =>
	(role === 'prefill' ? findNearSlowest : findNearFastest)(candidates, ({msPerToken}) => msPerToken);

/** Among engines as fast, the one with the least to finish, in the data centre that has the most of the role to give. */
export const pickRoleChange = (candidates: readonly RoleCandidate[], role: EndpointRole): RoleCandidate | undefined => {
	const inDataCentre = (dataCentre: string): number => candidates.filter(candidate => candidate.dataCentre === dataCentre).length;
	return findSuited(candidates, role).toSorted((a, b) =>
		(inDataCentre(b.dataCentre) - inDataCentre(a.dataCentre))
		|| (a.running - b.running)
		|| (a.endpoint < b.endpoint ? -1 : 1))[0];
};
