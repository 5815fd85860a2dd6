/**
 * Feeds the view of the calls of each plain service with what the entry hears and does, and chooses endpoints from it.
 */
import {
	chooseService, ServiceLoadEstimator, type Clock, type Random,
} from '@hawthorncleat/core';
import type {LoadReport} from '@hawthorncleat/schema';
import {distanceBetweenMs} from './distance.js';
import type {Endpoint} from './endpoint.js';

// Agents count their own calls, so that a report is only as old as its way here.
const reportLagMs = 10;

export type ServiceChoiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly dataCentre: string;
	readonly liveEntries: () => number;
};

/** Chooses the endpoints of plain services for one entry. */
export class ServiceChoice {
	readonly #options: ServiceChoiceOptions;
	readonly #views = new Map<string, ServiceLoadEstimator>();
	readonly #known = new Set<Endpoint>();

	constructor(options: ServiceChoiceOptions) {
		this.#options = options;
	}

	/** Takes in a load report; those of engines are not its business. */
	reported(endpoint: Endpoint, report: LoadReport): void {
		if (report.role !== 'service') {
			return;
		}

		const {host} = endpoint;
		const view = this.#viewOf(endpoint);
		if (!this.#known.has(endpoint)) {
			this.#known.add(endpoint);
			view.add({id: host.hostId, distanceMs: distanceBetweenMs(host.dataCentre, this.#options.dataCentre)});
		}

		view.applyReport(host.hostId, report, this.#options.clock.nowMs());
	}

	/** Forgets an endpoint whose connection has ended. */
	removed(endpoint: Endpoint): void {
		if (this.#known.delete(endpoint)) {
			this.#viewOf(endpoint).remove(endpoint.host.hostId);
		}
	}

	/** Notes a call and returns the function that notes its end, with whether there was an answer. */
	started(endpoint: Endpoint): (isAnswered: boolean) => void {
		const {clock} = this.#options;
		const {hostId} = endpoint.host;
		const view = this.#viewOf(endpoint);
		const startedMs = clock.nowMs();
		view.recordCallStart(hostId, startedMs);
		return isAnswered => {
			const nowMs = clock.nowMs();
			view.recordCallEnd(hostId, nowMs, isAnswered ? nowMs - startedMs : undefined);
		};
	}

	/** Chooses among endpoints of one service; undefined if there are none. */
	choose(endpoints: readonly Endpoint[]): Endpoint | undefined {
		const {clock, random} = this.#options;
		const first = endpoints[0];
		if (!first) {
			return undefined;
		}

		const byId = new Map(endpoints.map(endpoint => [endpoint.host.hostId, endpoint]));
		const view = this.#viewOf(first);
		const states = view.estimateAll(clock.nowMs()).filter(({id}) => byId.has(id));
		const choice = chooseService(states, view.meanCallMs, random);
		// An agent reports as soon as it is connected; until then nothing speaks against it.
		return choice ? byId.get(choice.id) : endpoints.find(endpoint => !this.#known.has(endpoint));
	}

	#viewOf({host}: Endpoint): ServiceLoadEstimator {
		const service = host.serves ?? '';
		const {liveEntries} = this.#options;
		const view = this.#views.get(service) ?? new ServiceLoadEstimator({
			reportLagMs,
			get entries() {
				return Math.max(1, liveEntries());
			},
		});
		this.#views.set(service, view);
		return view;
	}
}
