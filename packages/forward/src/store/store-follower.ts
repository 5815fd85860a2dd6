/**
 * Follows the store's tables of configuration, endpoints and members, and applies their changes to this entry's components. Tells them when the
 * store has returned from an older copy, because it has then lost acknowledged writes of the last seconds.
 */
import type {Clock, Random, StoreGeneration} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {EndpointDirectory} from '../endpoints/endpoint-directory.js';
import type {Membership} from '../peers/membership.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {RowStore, StoreAnswer, StoreTable} from '../ports.js';
import type {Supervise} from '../utils/supervisor.js';
import type {ActiveConfig} from './active-config.js';
import type {CorrectedClock} from './corrected-clock.js';
import {
	configWaitMs, endpointBatchMs, endpointPauseMs, isToldByPeers, membersWaitMsIn, type PollBounds, type PollSituation,
} from './poll-intervals.js';
import {watchTable} from './table-watch.js';

const followedTables = ['config', 'endpoints', 'members'] as const;
/** A store that answers slowly has answered by this time after the end of the wait for changes. */
const answerMs = 900;
/** Covers the pauses after an empty answer and after a failed call, a new connection, and the snapshot that is read on it. */
const recoveryMs = 500;
/** With shorter waits an entry would make calls all the time. */
const minWaitMs = 500;
/** Longest pause after a transfer. Together with the next transfer of a configuration of 1 MB it is within the time in which a version must be in force. */
const maxTransferPauseMs = 500;

/**
 * Longest wait of one call. If the connections go silent right after an answer, the next call begins after the pause between two calls and is given up
 * when its wait and the time for its answer are over; then a snapshot has the changes. All of this must fit into the limit.
 */
export const changeWaitMs = (silenceLimitMs: number, pauseMs: number): number => Math.max(minWaitMs, silenceLimitMs - pauseMs - answerMs - recoveryMs);

/**
 * Pause after an answer that took that long to transfer. Configurations may follow each other faster than a narrow link transfers them; with the
 * pause they leave at least half of the link to others, until the pause reaches its limit.
 */
export const transferPauseMs = (transferMs: number): number => Math.min(maxTransferPauseMs, transferMs);

type FollowedTable = typeof followedTables[number];

export type StoreFollowerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly rows: RowStore;
	readonly config: ActiveConfig;
	readonly directory: EndpointDirectory;
	readonly members: Membership;
	readonly correctedClock: CorrectedClock;
	/** Changes must be read again within this time after the open connections to the store have gone silent. */
	readonly silenceLimitMs: number;
	readonly pollBounds: PollBounds;
	readonly log: DecisionLog;
	readonly metrics: Pick<ForwardMetrics, 'countControlTransfer' | 'countFailedControlTransfer'>;
	/** Runs the loops that follow the tables. */
	readonly supervise: Supervise;
	/** Called when the store has returned from an older copy, before rows of it are applied. */
	readonly onStoreReturn: () => void;
};

export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #availability = new Map<StoreTable, boolean>();
	readonly #waitSpread: number;
	#hasReadEndpoints = false;
	#generation: StoreGeneration | undefined;
	/** Since when all calls have been answered, by a store that has not returned from a copy. */
	#steadySinceMs: number | undefined;

	constructor(options: StoreFollowerOptions) {
		this.#options = options;
		this.#waitSpread = options.random();
	}

	/** Whether the last call for a table was answered. */
	isAvailable(table: FollowedTable): boolean {
		return this.#availability.get(table) ?? true;
	}

	/** Whether the endpoints have been read since the start. */
	get hasReadEndpoints(): boolean {
		return this.#hasReadEndpoints;
	}

	/** Whether the store answers and the fleet tells this entry what changes, so that entries may read and write for each other. */
	get isToldByPeers(): boolean {
		return isToldByPeers(this.#situation);
	}

	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(followedTables.map(async table => this.#options.supervise(`store/${table}`, async () => this.#watch(table, signal), signal)));
	}

	get #situation(): PollSituation {
		const {clock, members} = this.#options;
		const {registered, heard} = members.hearing();
		return {
			entries: members.liveCount(), registeredPeers: registered, heardPeers: heard, steadyMs: clock.nowMs() - (this.#steadySinceMs ?? clock.nowMs()),
		};
	}

	/** Pause after an answer that took that long to transfer. */
	#pauseMs(table: FollowedTable, transferMs: number): number {
		const {pollBounds, random, members} = this.#options;
		if (table === 'endpoints') {
			return endpointPauseMs(this.#situation, pollBounds, random);
		}

		// Entries that start together write their rows one after another.
		return table === 'members' ? endpointBatchMs(members.liveCount()) : transferPauseMs(transferMs);
	}

	#waitMs(table: FollowedTable, transferMs: number): number {
		const situation = this.#situation;
		if (table === 'members') {
			return membersWaitMsIn(situation);
		}

		if (table === 'endpoints') {
			// The pause has used up the time between two answers.
			return isToldByPeers(situation) ? 0 : changeWaitMs(this.#options.silenceLimitMs, endpointBatchMs(situation.entries));
		}

		return configWaitMs(situation, changeWaitMs(this.#options.silenceLimitMs, transferPauseMs(transferMs)), this.#waitSpread);
	}

	async #watch(table: FollowedTable, signal: AbortSignal): Promise<void> {
		const {clock, random, rows, correctedClock} = this.#options;
		let transferMs = 0;
		await watchTable({
			table,
			rows,
			clock,
			random,
			waitMs: () => this.#waitMs(table, transferMs),
			answerMs,
			pauseMs: () => this.#pauseMs(table, transferMs),
			onAnswer: (answer, isSnapshot) => {
				transferMs = answer.transferMs;
				this.#options.metrics.countControlTransfer({purpose: table, direction: 'in', bytes: answer.bytes});
				correctedClock.recordStoreTime(answer.storeNowMs);
				this.#recordGeneration(answer.generation);
				this.#apply(table, answer, isSnapshot);
			},
			onApplyError: error => {
				this.#options.log.writeError(`applying changes of ${table}`, error);
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
			this.#steadySinceMs = this.#options.clock.nowMs();
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
		const {clock, directory, log, metrics} = this.#options;
		this.#steadySinceMs ??= clock.nowMs();
		if (!isAvailable) {
			this.#steadySinceMs = undefined;
			metrics.countFailedControlTransfer(table);
		}

		if (table === 'endpoints') {
			directory.setStoreAvailable(isAvailable);
		} else if (isAvailable) {
			directory.recordStoreAnswer();
		}

		if (this.isAvailable(table) !== isAvailable) {
			this.#availability.set(table, isAvailable);
			log.write('dependency', {
				dependency: `store/${table}`, isAvailable, ...error instanceof Error && {problem: error.message},
			});
		}
	}
}
