/**
 * Chooses the endpoint of a plain service by its distance and by the number of calls that run there. The entry counts its
 * own calls exactly. The calls of other entries come from the last load report, which is soon out of date because calls are
 * short: they are assumed to end evenly over the mean duration of a call, while each other entry starts as many new ones as
 * this entry has started since the report.
 */
import type {Random} from '../clock.js';
import {pickBetterOfTwo} from './choose-endpoint.js';

/** An endpoint of a plain service that the entry is connected to. */
export type ServiceEndpoint = {
	readonly id: string;
	/** Round trip to the endpoint. */
	readonly distanceMs: number;
};

/** The fields of a load report that the choice uses. */
export type ServiceReading = {readonly running: number; readonly maxRunning?: number; readonly leaving: boolean};

/** Estimate for one endpoint at the time of a choice. */
export type ServiceState = ServiceEndpoint & {
	readonly running: number;
	readonly maxRunning: number;
	readonly leaving: boolean;
};

export type ServiceLoadOptions = {
	/** Age of a report when it arrives. */
	readonly reportLagMs: number;
	/** Number of entries that call the same endpoints at a similar rate. */
	readonly entries: number;
};

// Used until the first answer. Calls of a plain service take a few to a few tens of milliseconds.
const initialCallMs = 10;
// Weight of each new duration in the exponentially weighted mean.
const smoothingFactor = 0.05;
// An endpoint that would reject the call is chosen only when there is no other.
const fullPenaltyMs = 10_000;
// Maximum number of endpoints with the same score from which one is drawn.
const maxCandidates = 3;

type CallChange = {readonly atMs: number; readonly calls: 1 | -1};
type EndpointRecord = {
	readonly info: ServiceEndpoint;
	reading: ServiceReading | undefined;
	/** Time that the reading describes. */
	reportTimeMs: number;
	/** Calls of this entry that run there. */
	ownRunning: number;
	/** Starts and ends of calls of this entry since the time that the reading describes. */
	changes: CallChange[];
};

/** Estimates the number of running calls at the endpoints of one service, from the data of one entry. */
export class ServiceLoadEstimator {
	readonly #endpoints = new Map<string, EndpointRecord>();
	readonly #options: ServiceLoadOptions;
	#callMs = initialCallMs;

	constructor(options: ServiceLoadOptions) {
		this.#options = options;
	}

	/** Mean duration of a call. */
	get meanCallMs(): number {
		return this.#callMs;
	}

	/** Adds an endpoint. It can be chosen after its first report. */
	add(info: ServiceEndpoint): void {
		this.#endpoints.set(info.id, {
			info, reading: undefined, reportTimeMs: 0, ownRunning: 0, changes: [],
		});
	}

	remove(id: string): void {
		this.#endpoints.delete(id);
	}

	/** Stores a load report that arrived at `nowMs`. */
	applyReport(id: string, reading: ServiceReading, nowMs: number): void {
		const endpoint = this.#endpoints.get(id);
		if (endpoint) {
			endpoint.reading = reading;
			endpoint.reportTimeMs = nowMs - this.#options.reportLagMs;
			endpoint.changes = endpoint.changes.filter(({atMs}) => atMs > endpoint.reportTimeMs);
		}
	}

	/** Records the start of a call of this entry. */
	recordCallStart(id: string, nowMs: number): void {
		this.#change(id, 1, nowMs);
	}

	/** Records the end of a call. `durationMs` is undefined if there was no answer. */
	recordCallEnd(id: string, nowMs: number, durationMs?: number): void {
		this.#change(id, -1, nowMs);
		if (durationMs !== undefined) {
			this.#callMs += smoothingFactor * (durationMs - this.#callMs);
		}
	}

	/** Estimated state of every endpoint that has reported. */
	estimateAll(nowMs: number): ServiceState[] {
		return [...this.#endpoints.values()].flatMap(endpoint => endpoint.reading ? [this.#estimate(endpoint, endpoint.reading, nowMs)] : []);
	}

	#change(id: string, calls: 1 | -1, nowMs: number): void {
		const endpoint = this.#endpoints.get(id);
		if (endpoint) {
			endpoint.ownRunning = Math.max(0, endpoint.ownRunning + calls);
			endpoint.changes.push({atMs: nowMs, calls});
		}
	}

	#estimate({info, ownRunning, changes, reportTimeMs}: EndpointRecord, reading: ServiceReading, nowMs: number): ServiceState {
		let netChange = 0;
		for (const {calls} of changes) {
			netChange += calls;
		}

		const ownRunningAtReport = Math.max(0, ownRunning - netChange);
		// Fraction of the reported calls that have not ended yet.
		const remainingFraction = Math.max(0, 1 - ((nowMs - reportTimeMs) / Math.max(1, this.#callMs)));
		const otherRunning = Math.max(0, reading.running - ownRunningAtReport) * remainingFraction;
		const startedByOthers = Math.max(0, ownRunning - (ownRunningAtReport * remainingFraction)) * (this.#options.entries - 1);
		return {
			...info,
			running: ownRunning + otherRunning + startedByOthers,
			maxRunning: reading.maxRunning ?? Number.POSITIVE_INFINITY,
			leaving: reading.leaving,
		};
	}
}

/** Each running call is assumed to delay a new one by the mean duration of a call. */
const scoreService = ({distanceMs, running, maxRunning}: ServiceState, callMs: number): number =>
	distanceMs + (running * callMs) + (running >= maxRunning ? fullPenaltyMs : 0);

/** Chooses the endpoint of a call, or undefined when no endpoint accepts calls. */
export const chooseService = (
	states: readonly ServiceState[],
	callMs: number,
	random: Random,
): ServiceState | undefined => {
	const choices = states
		.filter(({leaving}) => !leaving)
		.map(state => ({state, scoreMs: scoreService(state, callMs)}))
		.toSorted((a, b) => a.scoreMs - b.scoreMs);
	const best = choices[0]?.scoreMs;
	return pickBetterOfTwo(choices.slice(0, maxCandidates).filter(({scoreMs}) => scoreMs === best), random)?.state;
};
