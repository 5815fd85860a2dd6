/**
 * Limit of the requests a second that one process of an endpoint takes from all entries together, as it names it in its answers. Each entry uses a share of
 * it, so that no request waits for a counter that the entries have in common. Statements reach an entry in its own answers and from its peers, and may be
 * late or contradict each other, so a statement only counts if it is newer than the one in force.
 */

/** An endpoint that names less still gets a request each five seconds, whose answer tells when its limit has ended. */
const minPerSecond = 0.2;
/** What an entry has not used of its share for this time may follow at once. */
const burstSeconds = 1;
const minBurst = 1;
/** Entries tell each other the same statement again and again, each time a little later. */
const minNewerMs = 50;
/** After the end of a limit the rate doubles with each step, so that an endpoint with little work does not get that of all others at once. */
const rampStepMs = 250;
const rampSteps = 8;
const msPerSecond = 1000;

/** What a process says of its limit. */
export type RateStatement = {
	/** Requests a second; undefined if it names no limit. */
	readonly perSecond: number | undefined;
	/** When the first entry read it. */
	readonly statedMs: number;
};

/** A statement in an answer to this entry. */
export type AnsweredStatement = RateStatement & {
	/** When the request was sent. An answer to a request of before a newer statement may be late. */
	readonly askedMs: number;
};

/** What a statement has changed. */
export type RateChange = 'began' | 'ended' | 'changed';

export type RateLimitOptions = {
	/** Fraction of the limit that this entry uses. */
	readonly share: () => number;
	/** Part of a request that this entry has ready when it learns of a limit. Entries with evenly spread parts use a limit at an even pace. */
	readonly phase: () => number;
};

export class EndpointRateLimit {
	readonly #options: RateLimitOptions;
	#perSecond: number | undefined;
	#statedMs = Number.NEGATIVE_INFINITY;
	#endedMs: number | undefined;
	/** Requests that may be sent now. Negative after more than that were sent. */
	#level = 0;
	#updatedMs = 0;

	constructor(options: RateLimitOptions) {
		this.#options = options;
	}

	/** The newest statement; undefined if there is none. */
	get statement(): RateStatement | undefined {
		const perSecond = this.#endedMs === undefined ? this.#perSecond : undefined;
		return Number.isFinite(this.#statedMs) ? {perSecond, statedMs: this.#statedMs} : undefined;
	}

	/** When the limit ended; undefined while it is in force and if there was none. */
	get endedMs(): number | undefined {
		return this.#endedMs;
	}

	/** Records a statement in an answer to this entry. */
	recordAnswer({askedMs, ...statement}: AnsweredStatement): RateChange | undefined {
		const isLate = askedMs < this.#statedMs && statement.perSecond !== this.statement?.perSecond;
		return isLate ? undefined : this.#record(statement);
	}

	/** Records a statement that a peer has told. */
	recordHeard(statement: RateStatement, nowMs: number): RateChange | undefined {
		return statement.statedMs < this.#statedMs + minNewerMs ? undefined : this.#record(statement, nowMs);
	}

	/** Whether the endpoint has a limit now. */
	isLimited(nowMs: number): boolean {
		return this.#perSecond !== undefined && (this.#endedMs === undefined || this.#rampStep(nowMs) < rampSteps);
	}

	/** Time until one more request may be sent. */
	remainingMs(nowMs: number): number {
		if (!this.isLimited(nowMs)) {
			return 0;
		}

		this.#refill(nowMs);
		return Math.max(0, 1 - this.#level) / this.#rate(nowMs) * msPerSecond;
	}

	/** Takes one request from the share if it has one left. */
	tryTake(nowMs: number): boolean {
		if (this.remainingMs(nowMs) > 0) {
			return false;
		}

		this.#level -= 1;
		return true;
	}

	/** Records a call that is sent whatever the limit allows. */
	recordSent(nowMs: number): void {
		if (this.isLimited(nowMs)) {
			this.#refill(nowMs);
			this.#level -= 1;
		}
	}

	/** Returns a request that was not sent. */
	giveBack(): void {
		this.#level += 1;
	}

	#record({perSecond, statedMs}: RateStatement, nowMs = statedMs): RateChange | undefined {
		const before = this.statement?.perSecond;
		this.#statedMs = statedMs;
		if (perSecond === undefined) {
			return before === undefined ? undefined : this.#end(nowMs);
		}

		if (!this.isLimited(nowMs)) {
			this.#level = this.#options.phase();
			this.#updatedMs = nowMs;
		}

		this.#refill(nowMs);
		this.#perSecond = Math.max(minPerSecond, perSecond);
		this.#endedMs = undefined;
		if (before === undefined) {
			return 'began';
		}

		return before === this.#perSecond ? undefined : 'changed';
	}

	#end(nowMs: number): RateChange {
		this.#refill(nowMs);
		this.#endedMs = nowMs;
		return 'ended';
	}

	#rampStep(nowMs: number): number {
		return this.#endedMs === undefined ? 0 : Math.floor((nowMs - this.#endedMs) / rampStepMs);
	}

	/** Requests a second that this entry may send. */
	#rate(nowMs: number): number {
		return (this.#perSecond ?? 0) * this.#options.share() * (2 ** this.#rampStep(nowMs));
	}

	#refill(nowMs: number): void {
		if (this.#perSecond === undefined) {
			return;
		}

		const rate = this.#rate(nowMs);
		const burst = Math.max(minBurst, rate * burstSeconds);
		this.#level = Math.min(burst, this.#level + (Math.max(0, nowMs - this.#updatedMs) * rate / msPerSecond));
		this.#updatedMs = nowMs;
	}
}

/** The place of one call under the limit of its endpoint. It is reserved when the endpoint is selected, because the call may be sent later. */
export class RatePlace {
	readonly #limit: EndpointRateLimit;
	#isTaken: boolean;

	constructor(limit: EndpointRateLimit, nowMs: number) {
		this.#limit = limit;
		this.#isTaken = limit.isLimited(nowMs) && limit.tryTake(nowMs);
	}

	/** Whether the call may be sent now. A limit that began since the selection has no place reserved. */
	confirm(nowMs: number): boolean {
		if (this.#isTaken || !this.#limit.isLimited(nowMs)) {
			return true;
		}

		this.#isTaken = this.#limit.tryTake(nowMs);
		return this.#isTaken;
	}

	/** Gives the place back, because the call was not sent. */
	release(): void {
		if (this.#isTaken) {
			this.#isTaken = false;
			this.#limit.giveBack();
		}
	}
}
