/**
 * A whole system for history tests: stand-ins in this process, entries and agents as child processes on loopback, and
 * faults injected by process id. Every fault is noted in the history.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import type {Change, Faults, HostRecord} from '@hawthorncleat/schema';
import {loopback} from '@hawthorncleat/test-kit';
import type {ChildExit} from './child.js';
import {applyChange} from './apply-change.js';
import {Daemon} from './daemon.js';
import {createFleetConfig} from './fleet-config.js';
import {planFleet, type FleetOptions, type FleetPlan} from './fleet-plan.js';
import {planAgent, planEntry, type AgentOptions} from './daemon-plans.js';
import {
	createHistory, joinHistories, type History, type HistoryRecord,
} from './history.js';
import {createSeededRandom, type SeededRandom} from './random.js';
import {startStandIns, type StandInSet} from './stand-in-set.js';

/** Signals that pause and continue a process. */
const pauseSignals = {pause: 'SIGSTOP', resume: 'SIGCONT'} as const;
const entryConnectMs = 600;

/** A running fleet. */
export class Fleet {
	readonly plan: FleetPlan;
	readonly random: SeededRandom;
	readonly history: History = createHistory();
	readonly standIns: StandInSet;
	readonly daemons = new Map<string, Daemon>();
	readonly #options: FleetOptions;
	readonly #signal: AbortSignal;

	constructor(options: FleetOptions, plan: FleetPlan, standIns: StandInSet, signal: AbortSignal) {
		this.#options = options;
		this.plan = plan;
		this.standIns = standIns;
		this.#signal = signal;
		this.random = createSeededRandom(options.seed);
	}

	/** Settles after the signal aborted, all processes have ended and all stand-ins are closed. */
	get closed(): Promise<void> {
		return Promise.all([
			this.standIns.closed,
			...[...this.daemons.values()].map(async ({child}) => child.exited),
		]).then(() => undefined);
	}

	/** Ends the load of a test, at the latest together with the fleet: the loops of a test that fails must not go on. */
	createLoadController(): AbortController {
		const controller = new AbortController();
		// All callers of a load listen to one signal.
		setMaxListeners(0, controller.signal);
		this.#signal.addEventListener('abort', () => {
			controller.abort();
		}, {once: true});
		return controller;
	}

	get entryNames(): string[] {
		return [...this.daemons.values()].filter(({plan}) => plan.kind === 'entry').map(({plan}) => plan.name);
	}

	get agentNames(): string[] {
		return [...this.daemons.values()].filter(({plan}) => plan.kind === 'agent').map(({plan}) => plan.name);
	}

	daemon(name: string): Daemon {
		const daemon = this.daemons.get(name);
		if (!daemon) {
			throw new Error(`the fleet has no process ${name}`);
		}

		return daemon;
	}

	/** The URL at which an entry serves callers. */
	callerUrl(entry: string): string {
		return `http://${loopback}:${this.daemon(entry).plan.settings.callerPort!}`;
	}

	/** Everything that was seen so far, in one order. */
	joinedHistory(): HistoryRecord[] {
		const {platform, engines, services} = this.standIns;
		return joinHistories({
			run: this.history.records,
			platform: platform.history,
			engines: Object.fromEntries([...engines].map(([name, {history}]) => [name, history])),
			services: Object.fromEntries([...services].map(([name, {history}]) => [name, history])),
		});
	}

	setFaults(faults: Faults): void {
		this.#note('platform-faults', JSON.stringify(faults));
		this.standIns.platform.setFaults(faults);
	}

	/** Publishes a change through the admin API of an entry. */
	async apply(change: Change, entry = this.entryNames[0]!): Promise<number> {
		return applyChange(this.daemon(entry), change, this.#signal);
	}

	async kill(name: string): Promise<ChildExit> {
		this.#note('kill', name);
		return this.daemon(name).kill();
	}

	pause(name: string): void {
		this.#note('pause', name);
		this.daemon(name).child.signal(pauseSignals.pause);
	}

	resume(name: string): void {
		this.#note('resume', name);
		this.daemon(name).child.signal(pauseSignals.resume);
	}

	/** Asks a process to stop, waits for its end and takes its host off the list. */
	async stop(name: string): Promise<ChildExit> {
		this.#note('stop', name);
		const daemon = this.daemon(name);
		const exit = await daemon.child.stop();
		this.standIns.platform.removeHost(daemon.plan.hostId);
		return exit;
	}

	/** Starts a process again under the same host id and on the same ports; one that still runs is killed first. */
	async restart(name: string, isWaiting = true): Promise<void> {
		const daemon = this.daemon(name);
		await this.kill(name);
		this.#note('restart', name);
		await this.#startDaemon(daemon);
		if (isWaiting) {
			await daemon.waitUntilReady();
		}
	}

	/** Kills a process and starts another in its place on a new host. */
	async replace(name: string): Promise<void> {
		await this.kill(name);
		const old = this.daemon(name);
		this.#note('replace', name);
		this.standIns.platform.removeHost(old.plan.hostId);
		const {kind, dataCentre, settings} = old.plan;
		const plan = kind === 'entry'
			? await planEntry(await this.#context(name), {name, dataCentre})
			: await planAgent(await this.#context(name), {
				name, endpoint: String(settings.endpoint), slotPort: Number(settings.slotPort),
			});
		old.plan = plan;
		await this.#startDaemon(old);
		await old.waitUntilReady();
	}

	/** Starts a further agent, for instance a second one beside the same endpoint with the slot port of the first. */
	async addAgent(options: AgentOptions & {readonly waitUntilReady?: boolean}): Promise<void> {
		const plan = await planAgent(await this.#context(options.name), options);
		await this.#addDaemon(new Daemon(plan, this.#signal), options.waitUntilReady ?? true);
	}

	async addEntry(name: string, dataCentre: string): Promise<void> {
		const plan = await planEntry(await this.#context(name), {name, dataCentre});
		await this.#addDaemon(new Daemon(plan, this.#signal), true);
	}

	/** Starts every planned process at once and waits until all are ready and configured. */
	async startAll(): Promise<void> {
		const {plan} = this;
		await Promise.all([
			...[...plan.engines, ...plan.services].map(async ({name}) => this.addAgent({name: `agent-${name}`, endpoint: name})),
			...plan.entries.map(async ({name, dataCentre}) => this.addEntry(name, dataCentre)),
		]);
		const version = await this.apply(createFleetConfig(plan.dataCentres));
		await this.waitForVersion(version);
		await delay(entryConnectMs, undefined, {signal: this.#signal});
	}

	/** Waits until every running entry has at least this version of the configuration in force. */
	async waitForVersion(version: number): Promise<void> {
		await Promise.all(this.entryNames.map(async name => this.daemon(name).waitForVersion(version)));
	}

	async #context(name: string) {
		const {standIns, plan} = this;
		const {platform: {url}} = standIns;
		const platformUrl = await this.#options.platformUrlFor?.(name, url) ?? url;
		return {
			plan, standIns, platformUrl, settings: this.#options.settings ?? {},
		};
	}

	async #addDaemon(daemon: Daemon, isWaiting: boolean): Promise<void> {
		this.daemons.set(daemon.plan.name, daemon);
		await this.#startDaemon(daemon);
		if (isWaiting) {
			await daemon.waitUntilReady();
		}
	}

	async #startDaemon(daemon: Daemon): Promise<void> {
		daemon.start();
		const {hostId, dataCentre, kind, internalPort, settings} = daemon.plan;
		const record: HostRecord = {
			hostId,
			dataCentre,
			kind: kind === 'entry' ? 'entry' : 'endpoint',
			address: loopback,
			port: internalPort,
			...kind === 'agent' && {endpoint: String(settings.endpoint), serves: String(settings.serves)},
			state: 'live',
		};
		this.standIns.platform.putHost(await this.#options.listHost?.(record) ?? record);
	}

	#note(fault: string, target: string): void {
		this.history.append({kind: 'fault', fault, target});
	}
}

/** Starts a fleet, which runs until `signal` aborts; then await `closed`. */
export const startFleet = async (options: FleetOptions, signal: AbortSignal): Promise<Fleet> => {
	setMaxListeners(0, signal);
	const plan = planFleet(options);
	const standIns = await startStandIns(plan, options, signal);
	const fleet = new Fleet(options, plan, standIns, signal);
	try {
		await fleet.startAll();
	} catch (error) {
		await Promise.all([...fleet.daemons.values()].map(async daemon => daemon.kill()));
		throw error;
	}

	return fleet;
};

/** Runs a test with a fleet and ends all of its parts afterwards, whatever happens. */
export const withFleet = async (options: FleetOptions, body: (fleet: Fleet, signal: AbortSignal) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	let fleet: Fleet | undefined;
	try {
		fleet = await startFleet(options, controller.signal);
		await body(fleet, controller.signal);
	} finally {
		controller.abort();
		await fleet?.closed;
	}
};
