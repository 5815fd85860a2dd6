/**
 * Holds back accounts that ask for more than their share of a model's engines while these cannot serve everybody. Each
 * entry decides on the requests that it has seen itself; nothing is shared with other entries. Agents then share out the
 * places among what was admitted.
 */
import {
	AccountShares, estimateEngineSeconds, overShareRetryMs, servableFraction, sumRoles, type CapacityModel, type Clock, type Random,
} from '@hawthorncleat/core';
import type {HostRecord} from '@hawthorncleat/schema';
import type {ConfigSource, HostSource} from './deps.js';
import type {Endpoint} from './endpoint.js';
import {capacityModelOf, rolesByDataCentre} from './fleet-capacity.js';
import type {ModelDemand} from './model-demand.js';

export type FairAdmissionOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly dataCentre: string;
	readonly demand: ModelDemand;
	readonly config: ConfigSource;
	readonly hosts: HostSource;
	readonly endpoints: () => readonly Endpoint[];
};

/** What the decision needs of a request. */
export type SharedRequest = {
	readonly service: string;
	readonly account: string;
	readonly weight: number;
	readonly prompt: string;
	readonly maxTokens: number;
};

/** The shares of the accounts of one entry, by service. */
export class FairAdmission {
	readonly #options: FairAdmissionOptions;
	readonly #shares = new Map<string, AccountShares>();

	constructor(options: FairAdmissionOptions) {
		this.#options = options;
	}

	/**
	 * Notes a new request and returns the time after which to retry if its account is over its share. Without engine speeds
	 * in the configuration nobody is held back: measured ones come from one way of running and do not show the capacity.
	 */
	hold(request: SharedRequest): number | undefined {
		const {clock, random, config} = this.#options;
		const {service, account, weight} = request;
		const model = capacityModelOf(config, service);
		if (!model) {
			return undefined;
		}

		const nowMs = clock.nowMs();
		const shares = this.#sharesOf(service);
		shares.recordRequest(account, weight, this.#workOf(model, request), nowMs);
		const part = shares.admittedFraction(account, () => this.#servablePart(model, service), nowMs);
		return part >= 1 || random() < part ? undefined : overShareRetryMs;
	}

	#workOf(model: CapacityModel, {service, prompt, maxTokens}: SharedRequest): number {
		const {demand} = this.#options;
		return estimateEngineSeconds(model, demand.expectUncached(service, prompt), demand.expectOutput(service, maxTokens));
	}

	#servablePart(model: CapacityModel, service: string): number {
		const {dataCentre, demand, endpoints} = this.#options;
		const hosts: readonly HostRecord[] = this.#options.hosts.current();
		const roles = rolesByDataCentre({
			service, dataCentre, hosts, endpoints: endpoints(),
		});
		return servableFraction(model, demand.measure(service), sumRoles(roles.values()));
	}

	#sharesOf(service: string): AccountShares {
		const shares = this.#shares.get(service) ?? new AccountShares();
		this.#shares.set(service, shares);
		return shares;
	}
}
