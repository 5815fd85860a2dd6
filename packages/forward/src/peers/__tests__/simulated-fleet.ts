/**
 * A store with the registrations of endpoints, and the processes that write them, on a manual clock: registrations expire after three intervals of
 * silence, and the store fails, returns from copies and gets late writes.
 */
import type {RegisteredEndpoint} from '@hawthorncleat/core';
import type {ManualClock} from '@hawthorncleat/test-kit';
import {heartbeatMs} from '../../endpoints/__tests__/directory-fixture.js';

export const stepMs = 100;
export const expiryMs = 3 * heartbeatMs;
/** Copies are up to this many steps old. */
const maxCopySteps = 30;

export type Registration = Pick<RegisteredEndpoint, 'heartbeat' | 'isLeaving' | 'startedAt'>;
type StoredRow = Registration & {readonly writtenMs: number};
export type Rows = ReadonlyMap<string, StoredRow>;

export type ProcessKey = {readonly id: string; readonly startedAt: number};

export type Process = ProcessKey & {
	heartbeat: number;
	isLeaving: boolean;
	hasSaidLeaving: boolean;
	nextBeatMs: number;
	silentUntilMs: number;
	readonly liveSinceMs: number;
};

export class SimulatedFleet {
	readonly processes = new Map<string, Process>();
	/** Processes whose registration was removed because they had left. */
	readonly departed: ProcessKey[] = [];
	generation = 1;
	/** The store has been without failure and return since then. */
	stableSinceMs = 0;
	#rows = new Map<string, StoredRow>();
	readonly #clock: ManualClock;
	readonly #history: Rows[] = [];
	#downUntilMs = 0;
	#starts = 0;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	get rows(): Rows {
		return this.#rows;
	}

	get isUp(): boolean {
		return this.#clock.nowMs() >= this.#downUntilMs;
	}

	start(id: string): void {
		const nowMs = this.#clock.nowMs();
		this.#starts += 1;
		this.processes.set(id, {
			id, startedAt: this.#starts, heartbeat: 0, isLeaving: false, hasSaidLeaving: false, nextBeatMs: nowMs, silentUntilMs: 0, liveSinceMs: nowMs,
		});
	}

	/** Removes the registration of a process that does not announce that it leaves. Without the store the registration expires. */
	leave(id: string): void {
		const process = this.processes.get(id);
		if (process && this.isUp && this.#rows.get(id)?.startedAt === process.startedAt) {
			this.departed.push({id, startedAt: process.startedAt});
			this.#rows.delete(id);
		}

		this.processes.delete(id);
	}

	stop(ms: number): void {
		this.#downUntilMs = this.#clock.nowMs() + ms;
		this.stableSinceMs = this.#downUntilMs;
	}

	returnFromCopy(ageMs: number): void {
		const copy = this.#history.at(-Math.min(ageMs / stepMs, maxCopySteps));
		if (copy && this.isUp) {
			this.generation += 1;
			this.stableSinceMs = this.#clock.nowMs();
			this.#rows = new Map([...copy].map(([id, row]) => [id, {...row, writtenMs: this.stableSinceMs}]));
		}
	}

	write(id: string, {heartbeat, isLeaving, startedAt}: Registration): void {
		if (this.isUp) {
			this.#rows.set(id, {
				heartbeat, isLeaving, startedAt, writtenMs: this.#clock.nowMs(),
			});
		}
	}

	/** Writes the heartbeats that are due and removes expired registrations. */
	step(): void {
		const nowMs = this.#clock.nowMs();
		for (const process of this.processes.values()) {
			if (nowMs >= process.nextBeatMs) {
				process.nextBeatMs = nowMs + heartbeatMs;
				process.heartbeat += 1;
				if (nowMs >= process.silentUntilMs) {
					this.write(process.id, process);
				}
			}
		}

		this.#rows = new Map([...this.#rows].filter(([, {writtenMs}]) => nowMs - writtenMs <= expiryMs));
		this.#history.push(new Map(this.#rows));
	}
}
