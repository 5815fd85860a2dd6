/**
 * Follows the tables of the store: configuration, endpoints and the other entries.
 */
import type {Clock} from '@hawthorncleat/core';
import type {ActiveConfig} from './active-config.js';
import type {DecisionLog} from './decision-log.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {Membership} from './membership.js';
import type {RowStore, StoreAnswer, StoreTable} from './ports.js';
import {watchTable} from './table-watch.js';
import type {CorrectedClock} from './corrected-clock.js';

/**
 * Longest wait of one call. A connection that has gone silent is noticed only after it, and changes of configuration and
 * endpoints must still be taken over within five seconds of that; peers are heard without the store.
 */
const waitMs = {config: 3000, endpoints: 3000, members: 15_000} as const;
/**
 * Changes of endpoints are taken over in batches of this time, a fifth of the time in which a leaving one may still take work.
 * Every heartbeat is a change, so shorter pauses would cost each entry a call for nearly each of them.
 */
const endpointPauseMs = 400;

type FollowedTable = keyof typeof waitMs;

export type StoreFollowerOptions = {
	readonly clock: Clock;
	readonly rows: RowStore;
	readonly config: ActiveConfig;
	readonly directory: EndpointDirectory;
	readonly members: Membership;
	readonly correctedClock: CorrectedClock;
	readonly log: DecisionLog;
};

export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #available = new Map<StoreTable, boolean>();
	#knowsEndpoints = false;

	constructor(options: StoreFollowerOptions) {
		this.#options = options;
	}

	/** Whether the endpoints have been read since the start. */
	get hasReadEndpoints(): boolean {
		return this.#knowsEndpoints;
	}

	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.#watch('config', signal), this.#watch('endpoints', signal), this.#watch('members', signal)]);
	}

	async #watch(table: FollowedTable, signal: AbortSignal): Promise<void> {
		const {clock, rows, correctedClock: time} = this.#options;
		await watchTable({
			table,
			rows,
			clock,
			waitMs: waitMs[table],
			pauseMs: table === 'endpoints' ? endpointPauseMs : 0,
			onAnswer: (answer, isWhole) => {
				time.recordStoreTime(answer.storeNowMs);
				this.#apply(table, answer, isWhole);
			},
			onAvailability: (isAvailable, error) => {
				this.#noteAvailable(table, isAvailable, error);
			},
		}, signal);
	}

	#apply(table: FollowedTable, answer: StoreAnswer, isWhole: boolean): void {
		const {config, directory, members} = this.#options;
		if (table === 'config') {
			for (const {value} of answer.rows) {
				config.apply(value, 'store');
			}
		} else if (table === 'endpoints') {
			directory.apply(answer, isWhole);
			this.#knowsEndpoints = true;
		} else {
			members.apply(answer, isWhole);
		}
	}

	#noteAvailable(table: FollowedTable, isAvailable: boolean, error: unknown): void {
		const {directory, log} = this.#options;
		if (table === 'endpoints') {
			directory.setStoreAvailable(isAvailable);
		}

		if ((this.#available.get(table) ?? true) !== isAvailable) {
			this.#available.set(table, isAvailable);
			log.write('dependency', {
				dependency: `store/${table}`, isAvailable, ...error instanceof Error && {problem: error.message},
			});
		}
	}
}
