/**
 * What model and service requests share: the endpoints, the rules for retries and the measurements.
 */
import type {
	ClientAccountName, Clock, SuspectRequests, Fingerprint, Random, ResolvedRoute, RetryBudget,
} from '@hawthorncleat/core';
import type {ChooseEndpoint, Timings} from './deps.js';
import type {EngineChoice} from './engine-choice.js';
import type {EndpointPool} from './endpoint-pool.js';
import type {FairAdmission} from './fair-admission.js';
import type {Metrics} from './metrics.js';
import type {ModelDemand} from './model-demand.js';
import type {ServiceChoice} from './service-choice.js';
import type {Telemetry} from './telemetry.js';

/** What a running request uses of the entry. */
export type RequestContext = {
	readonly clock: Clock;
	readonly random: Random;
	readonly dataCentre: string;
	readonly pool: EndpointPool;
	readonly budget: RetryBudget;
	readonly suspects: SuspectRequests;
	/** Replaces the choices of engines and of service endpoints. */
	readonly choose?: ChooseEndpoint;
	/** Chooses engines by estimated time. */
	readonly engineChoice: EngineChoice;
	/** Chooses endpoints of plain services by their running calls and distance. */
	readonly serviceChoice: ServiceChoice;
	/** Measures what callers ask for, for the role planner. */
	readonly demand: ModelDemand;
	/** Holds back accounts that are over their share. */
	readonly fairAdmission: FairAdmission;
	readonly timings: Timings;
	readonly metrics: Metrics;
	readonly telemetry: Telemetry;
	/** Notes a crash and passes the mark on to the other entries. */
	readonly markCrash: (fingerprints: readonly string[], source: string) => void;
};

/** What is known of any admitted request. */
export type AdmittedRequest = {
	readonly requestId: string;
	readonly clientAccount: ClientAccountName;
	readonly route: ResolvedRoute;
	readonly fingerprint: Fingerprint;
	readonly traceparent: string;
	readonly admittedMs: number;
};
