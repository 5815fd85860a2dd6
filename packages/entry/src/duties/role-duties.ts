/**
 * Runs a role planner for each model service of the entry's data centre.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	prefixCharacters, type EngineOrderRole,
} from '@hawthorncleat/core';
import type {EntrySettings} from '@hawthorncleat/schema';
import type {ConfigSource, DutySources, HostSource} from '../deps.js';
import type {CreateOutageEvidence} from '../control/duty-evidence.js';
import type {Endpoint} from '../endpoint.js';
import {capacityModelOf, roleOf, rolesBeyondPlan} from '../fleet-capacity.js';
import {RolePlanner, type ManagedEngine} from './role-planner.js';
import {runDuty, type DutyContext} from './run-duty.js';

const orderTimeoutMs = 2000;
const charactersPerToken = 4;
// Engine capacity is counted in blocks of about that many tokens; agents do not report the cache of single requests.
const tokensPerRunningRequest = 1000;

export type RoleDutiesOptions = {
	readonly settings: EntrySettings;
	readonly context: DutyContext;
	readonly sources: DutySources;
	readonly config: ConfigSource;
	readonly hosts: HostSource;
	/** Without it the planners stop when the table is down for longer than a lease. */
	readonly outageEvidence?: CreateOutageEvidence;
};

/** Undefined until the agent has measured its engine. */
const decodeStepMsOf = ({report}: Endpoint): number | undefined => report?.stepMs === undefined
	? undefined
	: report.stepMs + ((report.stepMsPerRequest ?? 0) * (report.maxRunning ?? 0) / 2);

const toManaged = (endpoint: Endpoint, role: EngineOrderRole): ManagedEngine => ({
	endpoint: endpoint.id,
	role,
	cachedTokens: (endpoint.report?.prefixes ?? []).reduce((sum, name) => sum + prefixCharacters(name), 0) / charactersPerToken,
	runningTokens: (endpoint.report?.running ?? 0) * tokensPerRunningRequest,
	decodeStepMs: decodeStepMsOf(endpoint),
	async sendOrder(order, confirm) {
		endpoint.confirmOrder = confirm;
		return endpoint.peer?.call('engine.order', order, {timeoutMs: orderTimeoutMs});
	},
});

const enginesOf = ({settings, sources}: RoleDutiesOptions, service: string): ManagedEngine[] => sources.endpoints()
	.filter(({host}) => host.serves === service && host.dataCentre === settings.dataCentre)
	.flatMap(endpoint => {
		const role = roleOf(endpoint);
		return role ? [toManaged(endpoint, role)] : [];
	});

const rankOf = ({settings, hosts}: RoleDutiesOptions): number =>
	[...new Set(hosts.current().map(({dataCentre}) => dataCentre))].toSorted((a, b) => a < b ? -1 : 1).indexOf(settings.dataCentre);

const planService = async (options: RoleDutiesOptions, service: string, signal: AbortSignal): Promise<void> => {
	const {settings, context, sources, config} = options;
	const {dataCentre} = settings;
	const planner = new RolePlanner({
		...context,
		service,
		engines: () => enginesOf(options, service),
		elsewhere: () => rolesBeyondPlan({
			service, dataCentre, endpoints: sources.endpoints(), hosts: options.hosts.current(),
		}),
		model: () => capacityModelOf(config, service),
		demand: () => sources.demand.measure(service),
		rank: () => Math.max(0, rankOf(options)),
	});
	// Only entries of the data centre are connected to its engines.
	const local = {...context, entries: () => context.entries().filter(host => host.dataCentre === dataCentre)};
	const name = `roles/${service}/${dataCentre}`;
	const outage = options.outageEvidence?.(name, context.durations);
	await runDuty({
		name, kind: 'roles', run: planner.run, outage,
	}, local, signal);
};

const servicesOf = ({settings, sources, config}: RoleDutiesOptions): Set<string> => {
	const local = sources.endpoints().filter(({host}) => host.dataCentre === settings.dataCentre);
	const services = new Set(local.map(({host}) => host.serves ?? ''));
	return new Set([...services].filter(service => capacityModelOf(config, service) !== undefined));
};

/** Runs the planners, following the services that the data centre has, until `signal` aborts. */
export const runRoleDuties = async (options: RoleDutiesOptions, signal: AbortSignal): Promise<void> => {
	const running = new Map<string, {readonly controller: AbortController; readonly done: Promise<void>}>();
	while (!signal.aborted) {
		const services = servicesOf(options);
		for (const service of services) {
			if (!running.has(service)) {
				const controller = new AbortController();
				const done = planService(options, service, AbortSignal.any([signal, controller.signal]));
				running.set(service, {controller, done});
			}
		}

		for (const [service, {controller, done}] of running) {
			if (!services.has(service)) {
				controller.abort();
				running.delete(service);
				await done;
			}
		}

		await sleep(options.context.hostPollMs, undefined, {signal}).catch(() => {/* The loop ends. */});
	}

	await Promise.all([...running.values()].map(async ({done}) => done));
};
