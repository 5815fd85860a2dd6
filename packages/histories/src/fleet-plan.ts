/**
 * What a fleet consists of, with defaults: data centres, entries, engines and services with an agent each.
 */
import type {AgentSettings, EntrySettings, HostRecord} from '@hawthorncleat/schema';
import type {EngineOptions, PlainServiceOptions, PlatformOptions} from '@hawthorncleat/stand-ins';

/** An entry of the fleet. */
export type EntryPlan = {readonly name: string; readonly dataCentre: string};

/** An endpoint of the fleet; its agent is called `agent-<name>`. */
export type EndpointPlan<Options> = {readonly name: string; readonly dataCentre: string; readonly options?: Options};

/** Settings given to every daemon of a kind; addresses and names are the fleet's own. */
export type FleetSettings = {
	readonly entry?: Partial<EntrySettings>;
	readonly agent?: Partial<AgentSettings>;
};

/** What `startFleet` is given. Counts make names such as `entry-1`, spread over the data centres in turn. */
export type FleetOptions = {
	readonly seed: number;
	readonly dataCentres?: readonly string[];
	readonly entries?: number | readonly EntryPlan[];
	readonly engines?: number | ReadonlyArray<EndpointPlan<EngineOptions>>;
	readonly services?: number | ReadonlyArray<EndpointPlan<PlainServiceOptions>>;
	readonly settings?: FleetSettings;
	readonly platform?: PlatformOptions;
	/** The platform's URL as one process sees it; a relay may stand in between. */
	readonly platformUrlFor?: (processName: string, platformUrl: string) => string | Promise<string>;
	/** The host record that the platform lists; a relay's address may stand in place of the process's own. */
	readonly listHost?: (record: HostRecord) => HostRecord | Promise<HostRecord>;
};

/** A plan without open choices. */
export type FleetPlan = {
	readonly dataCentres: readonly string[];
	readonly entries: readonly EntryPlan[];
	readonly engines: ReadonlyArray<EndpointPlan<EngineOptions>>;
	readonly services: ReadonlyArray<EndpointPlan<PlainServiceOptions>>;
};

const spread = <Plan extends EntryPlan>(
	given: number | readonly Plan[],
	prefix: string,
	dataCentres: readonly string[],
): ReadonlyArray<Plan | EntryPlan> => typeof given === 'number'
	? Array.from({length: given}, (_, index) => ({
		name: `${prefix}-${index + 1}`, dataCentre: dataCentres[index % dataCentres.length]!,
	}))
	: given;

/** Fills in the defaults: one data centre, two entries, no endpoint. */
export const planFleet = (options: FleetOptions): FleetPlan => {
	const {dataCentres = ['dc-1'], entries = 2, engines = 0, services = 0} = options;
	return {
		dataCentres,
		entries: spread(entries, 'entry', dataCentres),
		engines: spread(engines, 'engine', dataCentres),
		services: spread(services, 'service', dataCentres),
	};
};

/** Short intervals, so that a fleet is ready and reacts within the time of a test. */
export const entryDefaults: Partial<EntrySettings> = {headPollMs: 250, hostPollMs: 250, logLevel: 'info'};

/** Defaults of the agents. */
export const agentDefaults: Partial<AgentSettings> = {logLevel: 'info'};
