/**
 * Chooses the engine that changes its role when there are many long answers and few engines of different speed. The latency of a stream
 * depends on the one engine that decodes it, while prompts are distributed over all prefill engines. So the fast engines decode, because the
 * longest answers meet their deadlines only there.
 */
import {findNearFastest, findNearSlowest} from '../similar-latencies.js';
import type {EndpointRole} from './deployment.js';

/** An engine that could change its role. */
export type RoleCandidate = {
	readonly endpoint: string;
	readonly dataCentre: string;
	readonly running: number;
	/** Time per token in its current role. */
	readonly msPerToken: number;
};

/** Engines about as fast as the best one for the role: the slowest for prefill, the fastest for decode. */
const findBestSuited = (candidates: readonly RoleCandidate[], role: EndpointRole): RoleCandidate[] =>
	(role === 'prefill' ? findNearSlowest : findNearFastest)(candidates, ({msPerToken}) => msPerToken);

/** Among equally fast engines: one in the data centre with the most candidates, there the one with the fewest running requests. */
export const pickRoleChange = (candidates: readonly RoleCandidate[], role: EndpointRole): RoleCandidate | undefined => {
	const countInDataCentre = (dataCentre: string): number => candidates.filter(candidate => candidate.dataCentre === dataCentre).length;
	return findBestSuited(candidates, role).toSorted((a, b) =>
		(countInDataCentre(b.dataCentre) - countInDataCentre(a.dataCentre))
		|| (a.running - b.running)
		|| (a.endpoint < b.endpoint ? -1 : 1))[0];
};
