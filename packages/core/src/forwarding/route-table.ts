/**
 * Lookup of routes, services and caller keys in one version of the configuration.
 */
import type {Random} from '../clock.js';
import type {
	ForwardAccount, ForwardConfig, ForwardRoute, ForwardService,
} from './deployment.js';

export class RouteTable {
	readonly config: ForwardConfig;
	readonly #routes = new Map<string, ForwardRoute[]>();
	readonly #services = new Map<string, ForwardService>();
	readonly #accounts = new Map<string, ForwardAccount>();

	constructor(config: ForwardConfig) {
		this.config = config;
		for (const route of config.routes) {
			const routes = this.#routes.get(route.hostname) ?? [];
			routes.push(route);
			this.#routes.set(route.hostname, routes);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const service of config.services) {
			this.#services.set(service.name, service);
		}

		for (const account of config.accounts) {
			for (const key of account.keys) {
				this.#accounts.set(key, account);
			}
		}
	}

	/** Finds the route of a host with the longest prefix that matches the path. */
	findRoute(hostname: string, path: string): ForwardRoute | undefined {
		return this.#routes.get(hostname)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	findService(name: string): ForwardService | undefined {
		return this.#services.get(name);
	}

	findAccount(key: string): ForwardAccount | undefined {
		return this.#accounts.get(key);
	}
}

/** Picks one of the services of a route at random by their weights. */
export const pickService = ({services}: ForwardRoute, random: Random): string | undefined => {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random() * total;
	for (const {service, weight} of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return services.at(-1)?.service;
};
