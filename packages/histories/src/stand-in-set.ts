/**
 * The stand-ins of a fleet, all in the test's process.
 */
import {
	startEngine,
	startPlainService,
	startPlatform,
	type EngineStandIn,
	type PlainServiceStandIn,
	type PlatformStandIn,
} from '@hawthorncleat/stand-ins';
import type {FleetOptions, FleetPlan} from './fleet-plan.js';

/** The running stand-ins by name. */
export type StandInSet = {
	readonly platform: PlatformStandIn;
	readonly engines: ReadonlyMap<string, EngineStandIn>;
	readonly services: ReadonlyMap<string, PlainServiceStandIn>;
	/** Settles after the signal aborted and every connection was closed. */
	readonly closed: Promise<void>;
};

/** Starts the platform, the engines and the plain services. */
export const startStandIns = async (plan: FleetPlan, options: FleetOptions, signal: AbortSignal): Promise<StandInSet> => {
	const platform = await startPlatform(options.platform ?? {}, signal);
	const engines = new Map<string, EngineStandIn>();
	for (const engine of plan.engines) {
		engines.set(engine.name, await startEngine(engine.options ?? {}, signal));
	}

	const services = new Map<string, PlainServiceStandIn>();
	for (const service of plan.services) {
		services.set(service.name, await startPlainService(service.options ?? {}, signal));
	}

	const all = [platform, ...engines.values(), ...services.values()];
	const closed = Promise.all(all.map(async standIn => standIn.closed)).then(() => undefined);
	return {
		platform, engines, services, closed,
	};
};
