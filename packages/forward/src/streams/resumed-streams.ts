/**
 * Finds the software version that began a stream which its caller resumes. What two versions write does not fit together and endpoints do not check it, so a
 * stream of which this cannot be found is refused.
 */
import {
	softwareVersionOf, type ForwardRoute, type ForwardService, type RegisteredEndpoint, type SoftwareVersion,
} from '@hawthorncleat/core';
import type {CallerExchange} from '../callers/caller-exchange.js';
import type {CallerRequest} from '../ports.js';
import type {SoftwareVersions} from '../versions/software-versions.js';
import type {StreamOrigin, StreamOrigins} from './stream-origins.js';
import type {StreamRows} from './stream-rows.js';

export type ResumedStreamsOptions = {
	readonly origins: StreamOrigins;
	readonly versions: Pick<SoftwareVersions, 'findOnly'>;
	readonly rows: Pick<StreamRows, 'readIfDue'>;
	/** Time within which news of a live peer arrives. */
	readonly newsMs: () => number;
};

/** The part of a request that tells whether it resumes a stream, and which. */
type StreamRequest = Pick<CallerRequest, 'id' | 'lastEventId' | 'resumedId'>;

type ServiceName = Pick<ForwardService, 'name'>;

type BegunStream = {readonly request: StreamRequest; readonly route: Pick<ForwardRoute, 'isResumable'>; readonly service: ServiceName};

type ResumingRequest = {readonly request: StreamRequest; readonly service: ServiceName; readonly exchange: Pick<CallerExchange, 'signal'>};

/** The request that began the stream: this one, unless its caller resumes a stream. */
const firstRequestOf = ({id, lastEventId, resumedId}: StreamRequest): CallerRequest['id'] => lastEventId === undefined ? id : resumedId ?? id;

export class ResumedStreams {
	readonly #options: ResumedStreamsOptions;

	constructor(options: ResumedStreamsOptions) {
		this.#options = options;
	}

	/** Records that an endpoint begins a stream or goes on with it. Only a resumable one matters. */
	recordBegun({request, route, service}: BegunStream, endpoint: Pick<RegisteredEndpoint, 'softwareVersion'>): void {
		if (route.isResumable) {
			this.#options.origins.recordBegun(firstRequestOf(request), {service: service.name, softwareVersion: softwareVersionOf(endpoint)});
		}
	}

	/** The service that began a resumed stream, if it is known and still one of the route. */
	serviceOf(request: StreamRequest, {services}: Pick<ForwardRoute, 'services'>): string | undefined {
		const service = this.#knownOrigin(request)?.service;
		return services.some(item => item.service === service && item.weight > 0) ? service : undefined;
	}

	/** The version that began a resumed stream; undefined if it cannot be found. */
	async findVersion({request, service, exchange}: ResumingRequest): Promise<SoftwareVersion | undefined> {
		const {
			origins, versions, rows, newsMs,
		} = this.#options;
		const isOfService = (origin: StreamOrigin | undefined): origin is StreamOrigin => origin?.service === service.name;
		const known = this.#knownOrigin(request);
		if (isOfService(known)) {
			return known.softwareVersion;
		}

		const only = await versions.findOnly(service.name);
		if (only !== undefined || request.resumedId === undefined) {
			return only;
		}

		// The stream may have broken off before its entry could tell, or all entries may have ended since.
		void rows.readIfDue();
		const told = await origins.waitForOrigin(request.resumedId, newsMs(), exchange.signal);
		return isOfService(told) ? told.softwareVersion : undefined;
	}

	#knownOrigin({lastEventId, resumedId}: StreamRequest): StreamOrigin | undefined {
		return lastEventId === undefined || resumedId === undefined ? undefined : this.#options.origins.originOf(resumedId);
	}
}
