/**
 * Follows the store's tables of configuration, endpoints and members, and applies their changes to this entry's components. Tells them when the
 * store has returned from an older copy, because it has then lost acknowledged writes of the last seconds.
 */
import type {Clock, StoreGeneration} from '@hawthorncleat/core';
import type {ActiveConfig} from './active-config.js';
import type {DecisionLog} from './decision-log.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {Membership} from './membership.js';
import type {RowStore, StoreAnswer, StoreTable} from './ports.js';
import type {Supervise} from './supervisor.js';
import {watchTable} from './table-watch.js';
import type {CorrectedClock} from './corrected-clock.js';

/**
 * Longest wait of one call. A stalled connection is detected only after it, and changes of the configuration and of endpoints
 * must still be applied within five seconds of the stall. Members may wait longer, because gossip works without the store.
 */
const waitMs = {config: 3000, endpoints: 3000, members: 15_000} as const;
/**
 * Changes of endpoints are read in batches. Every heartbeat is a change, so with shorter pauses each entry would make a call for almost every
 * heartbeat. The store's rate of calls is shared by all entries, so the batches grow with their number, up to half of the
 * shortest time in which a leaving endpoint may still get work.
 */
const minEndpointBatchMs = 400;
const endpointBatchPerEntryMs = 40;
const maxEndpointBatchMs = 1000;

/** Length of a batch of changes of endpoints, by the number of live entries. */
export const endpointBatchMs = (entries: number): number => Math.min(maxEndpointBatchMs, Math.max(minEndpointBatchMs, entries * endpointBatchPerEntryMs));

type FollowedTable = keyof typeof waitMs;

export type StoreFollowerOptions = {
	readonly clock: Clock;
	readonly rows: RowStore;
	readonly config: ActiveConfig;
	readonly directory: EndpointDirectory;
	readonly members: Membership;
	readonly correctedClock: CorrectedClock;
	readonly liveEntries: () => number;
	readonly log: DecisionLog;
	/** Runs the loops that follow the tables. */
	readonly supervise: Supervise;
	/** Called when the store has returned from an older copy, before rows of it are applied. */
	readonly onStoreReturn: () => void;
};

export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #availability = new Map<StoreTable, boolean>();
	#hasReadEndpoints = false;
	#generation: StoreGeneration | undefined;

	constructor(options: StoreFollowerOptions) {
		this.#options = options;
	}

	/** Whether the endpoints have been read since the start. */
	get hasReadEndpoints(): boolean {
		return this.#hasReadEndpoints;
	}

	async run(signal: AbortSignal): Promise<void> {
		const tables = Object.keys(waitMs) as FollowedTable[];
		await Promise.all(tables.map(async table => this.#options.supervise(`store/${table}`, async () => this.#watch(table, signal), signal)));
	}

	async #watch(table: FollowedTable, signal: AbortSignal): Promise<void> {
		const {clock, rows, correctedClock} = this.#options;
		await watchTable({
			table,
			rows,
			clock,
			waitMs: waitMs[table],
			pauseMs: () => table === 'endpoints' ? endpointBatchMs(this.#options.liveEntries()) : 0,
			onAnswer: (answer, isSnapshot) => {
				correctedClock.recordStoreTime(answer.storeNowMs);
				this.#recordGeneration(answer.generation);
				this.#apply(table, answer, isSnapshot);
			},
			onAvailability: (isAvailable, error) => {
				this.#recordAvailability(table, isAvailable, error);
			},
		}, signal);
	}

	#recordGeneration(generation: StoreGeneration): void {
		const isReturn = this.#generation !== undefined && generation > this.#generation;
		if (isReturn) {
			this.#options.log.write('dependency', {dependency: 'store', generation});
			this.#options.onStoreReturn();
		}

		this.#generation = isReturn ? generation : this.#generation ?? generation;
	}

	#apply(table: FollowedTable, answer: StoreAnswer, isSnapshot: boolean): void {
		const {config, directory, members} = this.#options;
		if (table === 'config') {
			for (const {value} of answer.rows) {
				config.apply(value, 'store');
			}
		} else if (table === 'endpoints') {
			directory.apply(answer, isSnapshot);
			this.#hasReadEndpoints = true;
		} else {
			members.apply(answer, isSnapshot);
		}
	}

	#recordAvailability(table: FollowedTable, isAvailable: boolean, error: unknown): void {
		const {directory, log} = this.#options;
		if (table === 'endpoints') {
			directory.setStoreAvailable(isAvailable);
		}

		if ((this.#availability.get(table) ?? true) !== isAvailable) {
			this.#availability.set(table, isAvailable);
			log.write('dependency', {
				dependency: `store/${table}`, isAvailable, ...error instanceof Error && {problem: error.message},
			});
		}
	}
}
