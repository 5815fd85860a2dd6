/**
 * The agents that this entry is connected to: for each service some of its own data centre and a few of the others,
 * as many as keep the control traffic within its limit.
 */
import {chooseByRendezvous, groupBy} from '@hawthorncleat/core';
import type {HostRecord} from '@hawthorncleat/schema';
import type {ChooseEndpoint, ChoiceRequest, EndpointCandidate} from './deps.js';
import {Endpoint, type EndpointOptions} from './endpoint.js';

/** Agents per service in the entry's own data centre. */
const subsetSize = 32;
/** Agents per service in each other data centre of the region, as a fallback. */
const fallbackSize = 4;

/** Agents of a service that an entry connects to in its own or in each other data centre. */
export const subsetLimit = (isLocal: boolean): number => isLocal ? subsetSize : fallbackSize;

/** Which entry connects, and from where. */
export type EntryPlace = {readonly entryId: string; readonly dataCentre: string};

/** Chooses the endpoint hosts that an entry connects to. */
export const chooseSubset = (
	hosts: readonly HostRecord[],
	entry: EntryPlace,
): HostRecord[] => {
	const endpoints = hosts.filter(host => host.kind === 'endpoint' && host.serves !== undefined);
	const groups = groupBy(endpoints, host => JSON.stringify([host.serves, host.dataCentre]));
	return [...groups.values()].flatMap(group => {
		const size = subsetLimit(group[0]!.dataCentre === entry.dataCentre);
		return chooseByRendezvous(entry.entryId, group, size, host => host.hostId);
	});
};

const addressOf = (host: HostRecord): string =>
	JSON.stringify([host.hostId, host.address, host.port, host.serves, host.endpoint]);

/** Keeps one connection to each chosen agent. */
export class EndpointPool {
	readonly #self: () => EntryPlace;
	readonly #options: EndpointOptions;
	readonly #endpoints = new Map<string, Endpoint>();
	readonly #closing = new Set<Promise<void>>();

	constructor(self: () => EntryPlace, options: EndpointOptions) {
		this.#self = self;
		this.#options = options;
	}

	get endpoints(): readonly Endpoint[] {
		return [...this.#endpoints.values()];
	}

	/** Follows the host list: connects to new hosts and leaves those that are gone once their streams have ended. */
	update(hosts: readonly HostRecord[]): void {
		const wanted = new Map(chooseSubset(hosts, this.#self()).map(host => [addressOf(host), host]));
		for (const [key, host] of wanted) {
			this.#want(key, host);
		}

		for (const [key, endpoint] of this.#endpoints) {
			if (!wanted.has(key)) {
				this.#retire(key, endpoint);
			}
		}
	}

	/** Endpoints that may take new work for a service. */
	available(service: string, excluded: ReadonlySet<Endpoint>): Endpoint[] {
		return this.endpoints.filter(endpoint =>
			endpoint.host.serves === service && endpoint.acceptsWork && !excluded.has(endpoint));
	}

	async close(): Promise<void> {
		const closing = this.endpoints.map(async endpoint => endpoint.close());
		this.#endpoints.clear();
		await Promise.all([...closing, ...this.#closing]);
	}

	#want(key: string, host: HostRecord): void {
		let endpoint = this.#endpoints.get(key);
		if (!endpoint) {
			endpoint = new Endpoint(host, this.#options);
			this.#endpoints.set(key, endpoint);
		}

		endpoint.isRetired = false;
		endpoint.isListedAsLeaving = host.state === 'leaving';
	}

	#retire(key: string, endpoint: Endpoint): void {
		endpoint.isRetired = true;
		if (!endpoint.isIdle && endpoint.peer) {
			return;
		}

		this.#endpoints.delete(key);
		const closing = endpoint.close().finally(() => {
			this.#closing.delete(closing);
		});
		this.#closing.add(closing);
	}
}

const toCandidate = (endpoint: Endpoint, dataCentre: string): EndpointCandidate => ({
	id: endpoint.id,
	isLocal: endpoint.host.dataCentre === dataCentre,
	report: endpoint.report,
	dispatchedTokens: endpoint.dispatchedTokens,
	runsSuspect: endpoint.runningSuspects > 0,
});

/** Applies the injected choice to endpoints. */
export const pickEndpoint = (
	endpoints: readonly Endpoint[],
	request: ChoiceRequest,
	choose: ChooseEndpoint,
	{dataCentre, random}: {readonly dataCentre: string; readonly random: () => number},
): Endpoint | undefined => {
	const candidates = endpoints.map(endpoint => toCandidate(endpoint, dataCentre));
	const chosen = choose(candidates, request, random);
	return chosen === undefined ? undefined : endpoints[candidates.indexOf(chosen)];
};
