/**
 * The default choice of an endpoint: of two random candidates the one with less work waiting in front of the request.
 */
import type {ChooseEndpoint, EndpointCandidate} from './deps.js';

/** Work in front of a new request: what the endpoint reported plus what this entry has sent since. */
const waitingWork = (candidate: EndpointCandidate): number =>
	(candidate.report?.waitingTokens ?? 0) + candidate.dispatchedTokens;

const isLess = (a: EndpointCandidate, b: EndpointCandidate): boolean => {
	if (waitingWork(a) !== waitingWork(b)) {
		return waitingWork(a) < waitingWork(b);
	}

	return (a.report?.running ?? 0) <= (b.report?.running ?? 0);
};

/**
 * Two random candidates keep the entries from all choosing the endpoint that has just reported idle. Endpoints of
 * other data centres are a fallback.
 */
export const chooseLeastWait: ChooseEndpoint = (candidates, request, random) => {
	const usable = request.isSuspect ? candidates.filter(candidate => !candidate.runsSuspect) : candidates;
	const local = usable.filter(candidate => candidate.isLocal);
	const pool = local.length > 0 ? local : usable;
	if (pool.length < 2) {
		return pool[0];
	}

	const first = Math.floor(random() * pool.length);
	const other = (first + 1 + Math.floor(random() * (pool.length - 1))) % pool.length;
	return isLess(pool[first]!, pool[other]!) ? pool[first] : pool[other];
};
