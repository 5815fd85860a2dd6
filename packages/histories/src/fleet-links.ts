/**
 * Relays on every link of a fleet: from each process to the platform, between entries, and from entries to agents.
 */
import {setMaxListeners} from 'node:events';
import type {HostRecord} from '@hawthorncleat/schema';
import {waitUntil} from '@hawthorncleat/test-kit';
import {readStatus} from './admin-calls.js';
import type {FleetOptions} from './fleet-plan.js';
import {withFleet, type Fleet} from './fleet.js';
import {startRelay, type Relay} from './relay.js';

const waitLimitMs = 20_000;
const pollMs = 50;

/** Waits for a condition, or fails with what was waited for. */
export const waitFor = async (what: string, condition: () => Promise<boolean> | boolean, limitMs = waitLimitMs): Promise<void> =>
	waitUntil(condition, {what, limitMs, pollMs});

/** Settles once every entry has evidence, is connected to every other entry and to every agent. */
export const waitUntilConnected = async (fleet: Fleet): Promise<void> => {
	const {entryNames, agentNames} = fleet;
	const isConnected = async (name: string): Promise<boolean> => {
		const status = await readStatus(fleet.daemon(name)).catch(() => undefined);
		return status !== undefined
			&& status.fresh
			&& status.entries.length === entryNames.length - 1
			&& status.endpoints.filter(({connected}) => connected).length === agentNames.length;
	};

	await waitFor('connections between all processes', async () => {
		const connected = await Promise.all(entryNames.map(async name => isConnected(name)));
		return connected.every(Boolean);
	});
};

/** The relays of one fleet, created as its processes start. */
export class FleetLinks {
	readonly #signal: AbortSignal;
	readonly #platform = new Map<string, Relay>();
	readonly #hosts = new Map<string, Relay>();

	constructor(signal: AbortSignal) {
		this.#signal = signal;
	}

	/** The part of the fleet's options that puts the relays in place. */
	get options(): Required<Pick<FleetOptions, 'listHost' | 'platformUrlFor'>> {
		return {platformUrlFor: this.#platformUrlFor, listHost: this.#listHost};
	}

	/** The relay in front of an entry's or agent's internal port. */
	host(fleet: Fleet, name: string): Relay {
		return this.#hosts.get(fleet.daemon(name).plan.hostId)!;
	}

	/** The relay between a process and the platform. */
	platform(name: string): Relay {
		return this.#platform.get(name)!;
	}

	/** Cuts an entry off from the platform and from all other entries. It still reaches the agents, which is worse. */
	partitionEntry(fleet: Fleet, name: string): void {
		const {hostId} = fleet.daemon(name).plan;
		this.platform(name).partition();
		this.host(fleet, name).partition();
		for (const other of fleet.entryNames.filter(other => other !== name)) {
			this.host(fleet, other).partition(dialer => dialer === hostId);
		}
	}

	/** Ends all partitions. */
	async heal(): Promise<void> {
		await Promise.all([...this.#platform.values(), ...this.#hosts.values()].map(async relay => relay.heal()));
	}

	readonly #platformUrlFor = async (name: string, platformUrl: string): Promise<string> => {
		const url = new URL(platformUrl);
		const {port} = await this.#relayTo(this.#platform, name, Number(url.port));
		url.port = String(port);
		return url.origin;
	};

	readonly #listHost = async (record: HostRecord): Promise<HostRecord> => {
		const {port} = await this.#relayTo(this.#hosts, record.hostId, record.port);
		return {...record, port};
	};

	/** A restarted process keeps its relays. */
	async #relayTo(relays: Map<string, Relay>, key: string, targetPort: number): Promise<Relay> {
		const relay = relays.get(key) ?? await startRelay({targetPort}, this.#signal);
		relays.set(key, relay);
		return relay;
	}
}

/** Runs a test with a fleet whose links all pass through relays. */
export const withLinkedFleet = async (
	options: FleetOptions,
	body: (fleet: Fleet, links: FleetLinks) => Promise<void>,
): Promise<void> => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	const links = new FleetLinks(controller.signal);
	try {
		await withFleet({...options, ...links.options}, async fleet => {
			await waitUntilConnected(fleet);
			await body(fleet, links);
		});
	} finally {
		controller.abort();
	}
};
