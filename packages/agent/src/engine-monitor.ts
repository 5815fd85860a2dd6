/**
 * Polls the state of the engine. An engine that does not answer takes no work until it answers again.
 */
import type {EngineState} from '@hawthorncleat/schema';
import {isEngineGone, type EngineClient} from './engine-client.js';

const pollIntervalMs = 500;

export type EngineMonitorEvents = {
	/** The engine stopped answering; `isGone` if its port takes no connections, not only no answer came in time. */
	readonly onDown: (isGone: boolean) => void;
	/** Called with every answer. */
	readonly onState: (state: EngineState, previous: EngineState | undefined) => void;
};

/** The last known state of one engine. */
export class EngineMonitor {
	#state: EngineState | undefined;
	#timer: NodeJS.Timeout | undefined;
	#current: Promise<EngineState | undefined> | undefined;
	#next: Promise<EngineState | undefined> | undefined;
	#wasGone = false;
	#stopped = false;

	constructor(private readonly client: EngineClient, private readonly events: EngineMonitorEvents) {}

	/** Undefined while the engine does not answer. */
	get state(): EngineState | undefined {
		return this.#state;
	}

	/** Whether the port of the engine took no connections at the last question. An engine that only answers late is not gone. */
	get isGone(): boolean {
		return this.#wasGone;
	}

	/** Begins polling; until then nothing is sent. */
	start(): void {
		this.#stopped = false;
		this.#schedule(0);
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	/**
	 * Asks the engine now. A question that is already under way may show the state before the event that made the caller
	 * ask, so another one follows it; callers that wait for that one share it.
	 */
	async probe(): Promise<EngineState | undefined> {
		if (!this.#current) {
			return this.#begin();
		}

		this.#next ??= this.#current.then(async () => {
			this.#next = undefined;
			return this.#begin();
		});
		return this.#next;
	}

	async #begin(): Promise<EngineState | undefined> {
		this.#current = this.#ask().finally(() => {
			this.#current = undefined;
		});
		return this.#current;
	}

	async #ask(): Promise<EngineState | undefined> {
		let isGone = false;
		const state = await this.#readState().catch((error: unknown) => {
			isGone = isEngineGone(error);
			return undefined;
		});
		if (this.#stopped) {
			return undefined;
		}

		const previous = this.#state;
		this.#state = state;
		if (state) {
			this.events.onState(state, previous);
		} else if (previous !== undefined || (isGone && !this.#wasGone)) {
			this.events.onDown(isGone);
		}

		this.#wasGone = isGone;
		return state;
	}

	async #readState(): Promise<EngineState> {
		try {
			return await this.client.state();
		} catch (error) {
			if (!isEngineGone(error)) {
				throw error;
			}

			// An idle connection that the engine closed fails as well; a second question opens a new one.
			return this.client.state();
		}
	}

	#schedule(delayMs: number): void {
		if (this.#stopped) {
			return;
		}

		this.#timer = setTimeout(() => {
			void this.probe().then(() => {
				this.#schedule(pollIntervalMs);
			});
		}, delayMs);
	}
}
