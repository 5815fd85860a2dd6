/**
 * Polls the state of the engine. An engine that does not answer takes no work until it answers again.
 */
import type {EngineState} from '@hawthorncleat/schema';
import type {EngineClient} from './engine-client.js';

const pollIntervalMs = 500;

export type EngineMonitorEvents = {
	/** The engine stopped answering. */
	readonly onDown: () => void;
	/** Called with every answer. */
	readonly onState: (state: EngineState, previous: EngineState | undefined) => void;
};

/** The last known state of one engine. */
export class EngineMonitor {
	#state: EngineState | undefined;
	#timer: NodeJS.Timeout | undefined;
	#probing: Promise<EngineState | undefined> | undefined;
	#stopped = false;

	constructor(private readonly client: EngineClient, private readonly events: EngineMonitorEvents) {}

	/** Undefined while the engine does not answer. */
	get state(): EngineState | undefined {
		return this.#state;
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

	/** Asks the engine now. Concurrent calls share one question. */
	async probe(): Promise<EngineState | undefined> {
		this.#probing ??= this.#ask().finally(() => {
			this.#probing = undefined;
		});
		return this.#probing;
	}

	async #ask(): Promise<EngineState | undefined> {
		const state = await this.client.state().catch(() => undefined);
		if (this.#stopped) {
			return undefined;
		}

		const previous = this.#state;
		this.#state = state;
		if (state) {
			this.events.onState(state, previous);
		} else if (previous) {
			this.events.onDown();
		}

		return state;
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
