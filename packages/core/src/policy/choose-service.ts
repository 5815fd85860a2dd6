/**
 * Chooses the endpoint of a plain service by its distance and by the calls that run there. The entry knows its own calls
 * exactly. Of the others it knows what the last report says, which is soon out of date because calls are short, so those
 * are taken to end over the mean duration of a call and to be followed by as many as this entry has begun since.
 */
import type {Random} from '../clock.js';
import {pickBetterOfTwo} from './choose-endpoint.js';

/** An endpoint of a plain service that the entry is connected to. */
export type ServiceEndpoint = {
	readonly id: string;
	/** Round trip to the endpoint. */
	readonly distanceMs: number;
};

/** Contents of a load report that the choice uses. */
export type ServiceReading = {readonly running: number; readonly maxRunning?: number; readonly leaving: boolean};

/** Estimate for one endpoint at the time of a choice. */
export type ServiceState = ServiceEndpoint & {
	readonly running: number;
	readonly maxRunning: number;
	readonly leaving: boolean;
};

export type ServiceLoadOptions = {
	/** Age of a report at its arrival. */
	readonly reportLagMs: number;
	/** Entries that call the same endpoints at a like rate. */
	readonly entries: number;
};

// Until the first answer. Calls of a desk take some milliseconds to some tens of them.
const initialCallMs = 10;
// Each answer moves the mean by this part.
const smoothing = 0.05;
// An endpoint that would refuse the call is taken only when there is no other.
const fullPenaltyMs = 10_000;
// At most this many endpoints with the same score are drawn from.
const shortListSize = 3;

type Change = {readonly atMs: number; readonly calls: 1 | -1};
type Known = {
	readonly info: ServiceEndpoint;
	reading: ServiceReading | undefined;
	describesMs: number;
	/** Own calls that run there. */
	open: number;
	/** Own calls that began or ended since the time that the reading describes. */
	changes: Change[];
};

/** Calls at the endpoints of one service as one entry sees them. */
export class ServiceLoadEstimator {
	readonly #known = new Map<string, Known>();
	readonly #options: ServiceLoadOptions;
	#callMs = initialCallMs;

	constructor(options: ServiceLoadOptions) {
		this.#options = options;
	}

	/** Mean duration of a call. */
	get meanCallMs(): number {
		return this.#callMs;
	}

	/** Adds an endpoint; it is chosen only after its first report. */
	add(info: ServiceEndpoint): void {
		this.#known.set(info.id, {
			info, reading: undefined, describesMs: 0, open: 0, changes: [],
		});
	}

	remove(id: string): void {
		this.#known.delete(id);
	}

	/** Takes in a load report that arrived at `nowMs`. */
	applyReport(id: string, reading: ServiceReading, nowMs: number): void {
		const known = this.#known.get(id);
		if (known) {
			known.reading = reading;
			known.describesMs = nowMs - this.#options.reportLagMs;
			known.changes = known.changes.filter(({atMs}) => atMs > known.describesMs);
		}
	}

	/** Notes a call of this entry. */
	recordCallStart(id: string, nowMs: number): void {
		this.#change(id, 1, nowMs);
	}

	/** Notes the end of a call; `durationMs` is left out if there was no answer. */
	recordCallEnd(id: string, nowMs: number, durationMs?: number): void {
		this.#change(id, -1, nowMs);
		if (durationMs !== undefined) {
			this.#callMs += smoothing * (durationMs - this.#callMs);
		}
	}

	/** Estimated state of every endpoint that has reported. */
	estimateAll(nowMs: number): ServiceState[] {
		return [...this.#known.values()].flatMap(known => known.reading ? [this.#estimate(known, known.reading, nowMs)] : []);
	}

	#change(id: string, calls: 1 | -1, nowMs: number): void {
		const known = this.#known.get(id);
		if (known) {
			known.open = Math.max(0, known.open + calls);
			known.changes.push({atMs: nowMs, calls});
		}
	}

	#estimate({info, open, changes, describesMs}: Known, reading: ServiceReading, nowMs: number): ServiceState {
		let since = 0;
		for (const {calls} of changes) {
			since += calls;
		}

		const openThen = Math.max(0, open - since);
		const stillValid = Math.max(0, 1 - ((nowMs - describesMs) / Math.max(1, this.#callMs)));
		const others = Math.max(0, reading.running - openThen) * stillValid;
		const begun = Math.max(0, open - (openThen * stillValid)) * (this.#options.entries - 1);
		return {
			...info,
			running: open + others + begun,
			maxRunning: reading.maxRunning ?? Number.POSITIVE_INFINITY,
			leaving: reading.leaving,
		};
	}
}

/** Each running call is taken to delay a new one by its duration. */
const scoreService = ({distanceMs, running, maxRunning}: ServiceState, callMs: number): number =>
	distanceMs + (running * callMs) + (running >= maxRunning ? fullPenaltyMs : 0);

/** Chooses the endpoint of a call; undefined when none takes calls. */
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
	return pickBetterOfTwo(choices.slice(0, shortListSize).filter(({scoreMs}) => scoreMs === best), random)?.state;
};
