/**
 * The faults of a run: an engine that crashes in the middle of a change, a data centre that is cut off, a table outage.
 */
import {defaultLeaseDurations, takeoverWaitMs} from '@hawthorncleat/core';
import {platform} from '../deployments.js';
import type {Faults} from '../workloads.js';
import type {FakeEngine} from './engine.js';
import type {Scheduler} from './scheduler.js';

const crashAfterChangeMs = 2000;
// A lease that was renewed just before the failure of the table.
const leaseHeldMs = defaultLeaseDurations.leaseTtlMs - defaultLeaseDurations.leaseMarginMs;
// The row is read at each renewal interval, must stay unchanged for the lease time, and the takeover is announced.
const leaseRetakenMs = (2 * defaultLeaseDurations.leaseRenewMs) + defaultLeaseDurations.leaseTtlMs + takeoverWaitMs(defaultLeaseDurations);
// The agent first waits for the table until its client gives up, and then asks the planner back.
const outageOrderMs = 1500 + platform.betweenDataCentresMs;

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

	/** Whether the planner can order now. */
	canOrder(): boolean {
		return this.#orderDelayMs() !== undefined;
	}

	/** Carries an order out after the time that it needs to reach its engine. */
	order(carryOut: () => void): void {
		const delayMs = this.#orderDelayMs() ?? 0;
		if (delayMs === 0) {
			carryOut();
		} else {
			this.scheduler.after(delayMs, carryOut);
		}
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

	/**
	 * Undefined while the planner cannot order. After the failure of the table it orders by row until its lease ends, which
	 * fails, and then as long as the witnesses attest it. When the table is back it stops and takes its lease again like any
	 * other entry.
	 */
	#orderDelayMs(): number | undefined {
		const {tableDown} = this.faults;
		const nowMs = this.scheduler.nowMs();
		if (tableDown === undefined || nowMs < tableDown.fromMs || nowMs >= tableDown.toMs + leaseRetakenMs) {
			return 0;
		}

		const isAttested = nowMs >= tableDown.fromMs + leaseHeldMs && nowMs < tableDown.toMs;
		return isAttested ? outageOrderMs : undefined;
	}
}
