/**
 * Settings of the entries and agents of a fleet.
 */
import type {AgentSettings, EntrySettings} from '@hawthorncleat/schema';
import {findFreePort, loopback} from '@hawthorncleat/test-kit';
import type {DaemonPlan} from './daemon.js';
import {fleetRegion, fleetServices} from './fleet-config.js';
import {
	agentDefaults, entryDefaults, type EntryPlan, type FleetPlan, type FleetSettings,
} from './fleet-plan.js';
import type {StandInSet} from './stand-in-set.js';

/** The admin token of every entry. */
export const adminToken = 'history-test-admin';

/** What the settings of a daemon are made from. */
export type PlanContext = {
	readonly plan: FleetPlan;
	readonly standIns: StandInSet;
	readonly platformUrl: string;
	readonly settings: FleetSettings;
};

/** An agent to start. */
export type AgentOptions = {
	readonly name: string;
	/** Name of the endpoint that it serves. */
	readonly endpoint: string;
	/** Absent means a free one, as on a host of its own. */
	readonly slotPort?: number;
};

let hostCount = 0;

const nextHostId = (name: string): string => {
	hostCount += 1;
	return `${name}-host-${hostCount}`;
};

/** Plans an entry on a new host. */
export const planEntry = async (context: PlanContext, {name, dataCentre}: EntryPlan): Promise<DaemonPlan> => {
	const hostId = nextHostId(name);
	const internalPort = await findFreePort();
	const adminPort = await findFreePort();
	const settings: Partial<EntrySettings> = {
		...entryDefaults,
		...context.settings.entry,
		entryId: hostId,
		dataCentre,
		region: fleetRegion,
		platformUrl: context.platformUrl,
		address: loopback,
		callerPort: await findFreePort(),
		internalPort,
		adminPort,
		adminToken,
	};
	return {
		name, kind: 'entry', dataCentre, hostId, internalPort, adminPort, settings,
	};
};

const findEndpoint = ({plan, standIns}: PlanContext, endpoint: string) => {
	const engine = plan.engines.find(({name}) => name === endpoint);
	const service = plan.services.find(({name}) => name === endpoint);
	const standIn = engine ? standIns.engines.get(endpoint) : standIns.services.get(endpoint);
	const found = engine ?? service;
	if (!found || !standIn) {
		throw new Error(`the fleet has no endpoint ${endpoint}`);
	}

	return {
		dataCentre: found.dataCentre,
		url: standIn.url,
		kind: engine ? 'engine' as const : 'service' as const,
		serves: engine ? fleetServices.model : fleetServices.plain,
	};
};

/** Plans an agent on a new host. */
export const planAgent = async (context: PlanContext, {name, endpoint, slotPort}: AgentOptions): Promise<DaemonPlan> => {
	const hostId = nextHostId(name);
	const internalPort = await findFreePort();
	const adminPort = await findFreePort();
	const {dataCentre, url, kind, serves} = findEndpoint(context, endpoint);
	const settings: Partial<AgentSettings> = {
		...agentDefaults,
		...context.settings.agent,
		agentId: hostId,
		dataCentre,
		platformUrl: context.platformUrl,
		address: loopback,
		internalPort,
		adminPort,
		slotPort: slotPort ?? await findFreePort(),
		endpoint,
		endpointUrl: url,
		endpointKind: kind,
		serves,
	};
	return {
		name, kind: 'agent', dataCentre, hostId, internalPort, adminPort, settings,
	};
};
