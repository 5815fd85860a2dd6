/**
 * The faults of a run: an engine that crashes in the middle of a change, a data centre that is cut off, a table outage.
 */
import {platform} from '../deployments.js';
import type {Faults} from '../workloads.js';
import type {FakeEngine} from './engine.js';
import type {Scheduler} from './scheduler.js';

const crashAfterChangeMs = 2000;

export class FaultInjector {
	#cut = false;
	#lossArmed = false;

	constructor(
		private readonly faults: Faults,
		private readonly scheduler: Scheduler,
		/** The data centre that is cut off. */
		private readonly lastDataCentre: string,
	) {}

	/** Schedules the faults. `reachabilityNoticed` is called when the entries have noticed a cut or its end. */
	start(firstEngine: FakeEngine, reachabilityNoticed: () => void): void {
		const {cutOff, engineLost} = this.faults;
		if (engineLost) {
			this.scheduler.after(engineLost.fromMs, () => {
				this.#lossArmed = true;
			});
			this.scheduler.after(engineLost.latestMs, () => {
				this.#loseArmed(firstEngine, 0);
			});
		}

		if (cutOff) {
			this.#scheduleCut(cutOff.fromMs, cutOff.toMs, reachabilityNoticed);
		}
	}

	/** Whether messages pass between a data centre and an engine. */
	reaches(dataCentre: string, engine: FakeEngine): boolean {
		return !this.#cut || (dataCentre === this.lastDataCentre) === (engine.spec.dataCentre === this.lastDataCentre);
	}

	isTableDown(): boolean {
		const {tableDown} = this.faults;
		const nowMs = this.scheduler.nowMs();
		return tableDown !== undefined && nowMs >= tableDown.fromMs && nowMs < tableDown.toMs;
	}

	/** Called when an engine begins a change of its role. */
	changeStarted(engine: FakeEngine): void {
		this.#loseArmed(engine, crashAfterChangeMs);
	}

	#loseArmed(engine: FakeEngine, delayMs: number): void {
		if (!this.#lossArmed) {
			return;
		}

		this.#lossArmed = false;
		this.scheduler.after(delayMs, () => {
			engine.crash();
			this.scheduler.after(this.faults.engineLost!.backAfterMs, () => {
				engine.restart();
			});
		});
	}

	#scheduleCut(fromMs: number, toMs: number, noticed: () => void): void {
		this.scheduler.after(fromMs, () => {
			this.#cut = true;
		});
		this.scheduler.after(fromMs + platform.silenceLimitMs, noticed);
		this.scheduler.after(toMs, () => {
			this.#cut = false;
			noticed();
		});
	}
}
