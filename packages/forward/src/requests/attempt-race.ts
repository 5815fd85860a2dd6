/**
 * The attempts of one request that run at the same time. An attempt that stalls is not given up, because its endpoint may go on: another one
 * starts beside it if the retry budget and the endpoints allow it, and the first that delivers ends the others.
 */
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {AttemptPhase} from './attempt-report.js';
import type {AttemptResult} from './attempt-result.js';
import type {Placement} from './placement.js';

/** What a running attempt uses to follow and to inform the race. */
export type AttemptControl = {
	/** Aborts when the request ends or another attempt has delivered first. */
	readonly signal: AbortSignal;
	/** Whether another attempt has delivered first. */
	readonly isSuperseded: boolean;
	/** Reports that the attempt has made no progress for longer than it should. It may be called repeatedly. */
	reportStall(phase: AttemptPhase): void;
	/** Ends the other attempts. Returns false if this one has already been ended. */
	claim(): boolean;
	/**
	 * Asks whether the request may be sent to run at the target of this attempt. Returns false if other attempts have already sent it to as many
	 * endpoints as may run it.
	 */
	startRun(): boolean;
};

export class RunningAttempt implements AttemptControl {
	readonly placement: Placement;
	/** Whether the request was sent to run at the target. */
	hasStartedRun = false;
	/** Its end may not have been taken from the race yet. */
	hasEnded = false;
	/** Whether a stall has been recorded for the ejection of the endpoint. Repeated records would eject it for ever longer. */
	hasStalled = false;
	/** What the log last reported about a stall of this attempt. */
	stallDecision: string | undefined;
	readonly #controller = new AbortController();
	readonly #race: AttemptRace;
	#isSuperseded = false;

	constructor(placement: Placement, race: AttemptRace) {
		this.placement = placement;
		this.#race = race;
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	get isSuperseded(): boolean {
		return this.#isSuperseded;
	}

	reportStall(phase: AttemptPhase): void {
		this.#race.push({kind: 'stalled', attempt: this, phase});
	}

	claim(): boolean {
		if (!this.#isSuperseded) {
			this.#race.supersedeOthers(this);
		}

		return !this.#isSuperseded;
	}

	startRun(): boolean {
		return !this.#isSuperseded && this.#race.startRun(this);
	}

	abort(reason: unknown): void {
		this.#controller.abort(reason);
	}

	supersede(): void {
		this.#isSuperseded = true;
		this.#controller.abort(new Error('another attempt has delivered first'));
	}
}

/** How often a request may run. */
export type RunLimits = {
	/** Whether it may run more than once. */
	readonly isRepeatable: boolean;
	/** Number of endpoints that may run it. */
	readonly maxEndpoints: number;
};

/** Something that happened to an attempt. */
export type AttemptEvent
	= | {readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly result: AttemptResult}
		| {readonly kind: 'stalled'; readonly attempt: RunningAttempt; readonly phase: AttemptPhase}
		| {readonly kind: 'threw'; readonly attempt: RunningAttempt; readonly error: unknown};

export class AttemptRace {
	readonly #running = new Set<RunningAttempt>();
	readonly #ended: Array<Promise<void>> = [];
	readonly #events: AttemptEvent[] = [];
	readonly #requestSignal: AbortSignal;
	readonly #limits: RunLimits;
	/** Targets of ended attempts that may have run the request. */
	readonly #ranAt = new Set<PooledEndpoint>();
	readonly #onRequestEnd: () => void;
	#wake: (() => void) | undefined;

	/** Aborting `requestSignal` aborts all attempts. */
	constructor(requestSignal: AbortSignal, limits: RunLimits) {
		this.#requestSignal = requestSignal;
		this.#limits = limits;
		this.#onRequestEnd = () => {
			for (const attempt of this.#running) {
				attempt.abort(requestSignal.reason);
			}
		};

		requestSignal.addEventListener('abort', this.#onRequestEnd, {once: true});
	}

	/** Attempts whose end has not been taken by `next`. */
	get running(): readonly RunningAttempt[] {
		return [...this.#running];
	}

	/** Endpoints that may have run the request, or run it now. */
	get reached(): ReadonlySet<PooledEndpoint> {
		const started = this.running.filter(({hasStartedRun}) => hasStartedRun).map(({placement}) => placement.target);
		return new Set([...this.#ranAt, ...started]);
	}

	/** Records that the target of an ended attempt may have run the request. */
	recordRun(target: PooledEndpoint): void {
		this.#ranAt.add(target);
	}

	startRun(attempt: RunningAttempt): boolean {
		if (!this.#mayStartRun(attempt)) {
			return false;
		}

		attempt.hasStartedRun = true;
		// Their prefill would be in vain.
		this.#supersedeWhere(other => !other.hasStartedRun && !this.#mayStartRun(other));
		return true;
	}

	start(placement: Placement, run: (control: AttemptControl) => Promise<AttemptResult>): void {
		const attempt = new RunningAttempt(placement, this);
		this.#running.add(attempt);
		this.#ended.push(this.#runToEnd(attempt, run));
	}

	push(event: AttemptEvent): void {
		this.#events.push(event);
		this.#wake?.();
	}

	/** Waits for the next event of an attempt that runs or has just ended. Rejects with the error of an attempt that threw. */
	async next(): Promise<Exclude<AttemptEvent, {kind: 'threw'}>> {
		for (;;) {
			const event = await this.#takeEvent();
			if (event.kind === 'stalled') {
				if (!event.attempt.hasEnded) {
					return event;
				}

				continue;
			}

			this.#running.delete(event.attempt);
			if (event.kind === 'threw') {
				throw event.error;
			}

			return event;
		}
	}

	supersedeOthers(winner: RunningAttempt): void {
		this.#supersedeWhere(attempt => attempt !== winner);
	}

	/** Ends what still runs and waits until it has ended. */
	async close(): Promise<void> {
		this.#requestSignal.removeEventListener('abort', this.#onRequestEnd);
		this.#supersedeWhere(() => true);
		await Promise.all(this.#ended);
		this.#running.clear();
	}

	async #takeEvent(): Promise<AttemptEvent> {
		for (;;) {
			const event = this.#events.shift();
			if (event) {
				return event;
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	#mayStartRun({placement: {target}}: RunningAttempt): boolean {
		const {reached} = this;
		if (reached.size === 0) {
			return true;
		}

		const runsThere = this.running.some(({hasStartedRun, placement}) => hasStartedRun && placement.target === target);
		const isWithinLimit = reached.has(target) || reached.size < this.#limits.maxEndpoints;
		return this.#limits.isRepeatable && !runsThere && isWithinLimit;
	}

	#supersedeWhere(isLoser: (attempt: RunningAttempt) => boolean): void {
		for (const attempt of this.#running) {
			if (isLoser(attempt)) {
				attempt.supersede();
			}
		}
	}

	async #runToEnd(attempt: RunningAttempt, run: (control: AttemptControl) => Promise<AttemptResult>): Promise<void> {
		let event: AttemptEvent;
		try {
			event = {kind: 'ended', attempt, result: await run(attempt)};
		} catch (error) {
			event = {kind: 'threw', attempt, error};
		}

		attempt.hasEnded = true;
		this.push(event);
	}
}
