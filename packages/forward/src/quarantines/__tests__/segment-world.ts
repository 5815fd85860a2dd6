/**
 * A simulated fleet for the quarantine of prompt segments: entries that see only their own runs and exchange news over lossy, delayed messages,
 * engines that crash when they begin to decode with the deadly segment, and crashes that have nothing to do with any request.
 */
import {brandAs, type Random, type SegmentKey} from '@hawthorncleat/core';
import {createManualClock} from '@hawthorncleat/test-kit';
import {SegmentQuarantines} from '../segment-quarantines.js';

export type WorldOptions = {
	readonly random: Random;
	readonly entries: number;
	readonly engines: number;
	readonly requestsPerSecond: number;
	/** Fraction of the requests that have the deadly segment, from `deadlyFromMs` on. */
	readonly deadlyFraction: number;
	readonly deadlyFromMs: number;
	/** From then on, requests with the segment crash no engines any more. */
	readonly repairedMs?: number;
	readonly endMs: number;
	/** Times at which a quarter of the engines crash at once for another reason. */
	readonly powerFailuresMs?: readonly number[];
	/** Times at which one entry starts again without memory. */
	readonly restartsMs?: readonly number[];
};

export type WorldResult = {
	/** Times at which engines crashed because of the deadly segment. */
	readonly deadlyCrashesMs: readonly number[];
	/** Times at which requests with the segment were sent to engines. */
	readonly deadlySentMs: readonly number[];
	/** Times at which sound requests were rejected. */
	readonly soundRejectedMs: readonly number[];
	readonly soundRequests: number;
};

type Run = {
	readonly entry: number;
	readonly engine: number;
	readonly segments: readonly SegmentKey[];
	readonly isDeadly: boolean;
	readonly startedMs: number;
	readonly beginsMs: number;
	readonly endsMs: number;
};

const stepMs = 10;
/** Time from a crash until the entries whose streams broke have found the port closed. */
const detectionMs = 20;
const downMs = 3000;
const gossipDelayMs = 5;
const lostDatagrams = 0.05;
const intervalPerPeerMs = 8;
const minIntervalMs = 60;
const firstSegments = 6;
/** Segments that follow a first one; each is in few requests. */
const secondSegments = 60;

const key = (name: string): SegmentKey => brandAs<SegmentKey>(name);

export class SegmentWorld {
	readonly #options: WorldOptions;
	readonly #clock = createManualClock();
	readonly #guards: SegmentQuarantines[];
	readonly #downUntilMs: number[];
	#runs: Run[] = [];
	#pending: Array<{readonly atMs: number; readonly run: () => void}> = [];
	readonly #result = {
		deadlyCrashesMs: [] as number[], deadlySentMs: [] as number[], soundRejectedMs: [] as number[], soundRequests: 0,
	};

	constructor(options: WorldOptions) {
		this.#options = options;
		this.#guards = Array.from({length: options.entries}, (_, index) => this.#createGuard(index));
		this.#downUntilMs = Array.from({length: options.engines}, () => 0);
	}

	play(): WorldResult {
		const {endMs, entries, powerFailuresMs = [], restartsMs = []} = this.#options;
		const gossipMs = Math.max(minIntervalMs, (entries - 1) * intervalPerPeerMs);
		for (let nowMs = 0; nowMs < endMs; nowMs += stepMs) {
			this.#runPending(nowMs);
			this.#endRuns(nowMs);
			if (powerFailuresMs.includes(nowMs)) {
				this.#failPower(nowMs);
			}

			if (restartsMs.includes(nowMs)) {
				const entry = this.#integer(entries);
				this.#guards[entry] = this.#createGuard(entry);
			}

			for (let entry = 0; entry < entries; entry += 1) {
				if ((nowMs + (entry * stepMs)) % (Math.ceil(gossipMs / stepMs) * stepMs) === 0) {
					this.#sendNews(entry, nowMs);
				}
			}

			this.#sendRequests(nowMs);
			this.#clock.advance(stepMs);
		}

		return this.#result;
	}

	#createGuard(index: number): SegmentQuarantines {
		return new SegmentQuarantines({
			clock: this.#clock,
			position: () => ({index, count: this.#options.entries}),
			onQuarantine: () => undefined,
			onAdoption: () => undefined,
			onTrial: () => undefined,
			onQuarantineEnd: () => undefined,
		});
	}

	#integer(below: number): number {
		return Math.floor(this.#options.random() * below);
	}

	#runPending(nowMs: number): void {
		const due = this.#pending.filter(({atMs}) => atMs <= nowMs);
		this.#pending = this.#pending.filter(({atMs}) => atMs > nowMs);
		for (const {run} of due) {
			run();
		}
	}

	#endRuns(nowMs: number): void {
		for (const run of this.#runs.filter(({isDeadly, endsMs}) => isDeadly && endsMs <= nowMs)) {
			if (this.#runs.includes(run)) {
				this.#result.deadlyCrashesMs.push(nowMs);
				this.#crash(run.engine, nowMs);
			}
		}

		for (const {entry, segments, beginsMs} of this.#runs.filter(({endsMs}) => endsMs <= nowMs)) {
			this.#guards[entry]!.recordCompletedRun(segments, beginsMs);
		}

		this.#runs = this.#runs.filter(({endsMs}) => endsMs > nowMs);
	}

	#crash(engine: number, nowMs: number): void {
		this.#downUntilMs[engine] = nowMs + downMs;
		const broken = this.#runs.filter(run => run.engine === engine);
		this.#runs = this.#runs.filter(run => run.engine !== engine);
		for (let entry = 0; entry < this.#guards.length; entry += 1) {
			const justBegun = broken.filter(run => run.entry === entry && nowMs - run.beginsMs < 1000);
			const guard = this.#guards[entry]!;
			this.#pending.push({
				atMs: nowMs + detectionMs,
				run() {
					guard.recordCrash(`i-${engine}/${nowMs}`, justBegun, nowMs);
				},
			});
		}
	}

	#failPower(nowMs: number): void {
		for (let engine = 0; engine < this.#options.engines / 4; engine += 1) {
			this.#crash(engine, nowMs);
		}
	}

	#sendNews(entry: number, nowMs: number): void {
		const news = this.#guards[entry]!.newsToSend('remote');
		for (const guard of this.#guards) {
			if (guard !== this.#guards[entry] && this.#options.random() >= lostDatagrams) {
				this.#pending.push({
					atMs: nowMs + gossipDelayMs,
					run() {
						guard.applyPeerNews(news);
					},
				});
			}
		}
	}

	#sendRequests(nowMs: number): void {
		const {random, requestsPerSecond, deadlyFraction, deadlyFromMs, repairedMs = Number.POSITIVE_INFINITY} = this.#options;
		if (random() >= requestsPerSecond * stepMs / 1000) {
			return;
		}

		const hasSegment = nowMs >= deadlyFromMs && random() < deadlyFraction;
		const isDeadly = hasSegment && nowMs < repairedMs;
		const first = key(`first-${this.#integer(firstSegments)}`);
		const second = key(`second-${this.#integer(secondSegments)}`);
		const segments = hasSegment ? [first, key('dead'), second] : [first, second];
		this.#result.soundRequests += isDeadly ? 0 : 1;
		const entry = this.#integer(this.#guards.length);
		this.#guards[entry]!.recordArrival(segments);
		if (this.#guards[entry]!.remainingMs(segments) !== undefined) {
			if (!isDeadly) {
				this.#result.soundRejectedMs.push(nowMs);
			}

			return;
		}

		this.#guards[entry]!.recordRequest(segments);
		this.#start({
			entry, segments, isDeadly,
		}, nowMs);
	}

	#start({entry, segments, isDeadly}: Pick<Run, 'entry' | 'isDeadly' | 'segments'>, nowMs: number): void {
		const {random} = this.#options;
		const usable = this.#downUntilMs.flatMap((untilMs, engine) => untilMs <= nowMs ? [engine] : []);
		if (usable.length === 0) {
			return;
		}

		this.#guards[entry]!.recordStart(segments);
		if (isDeadly) {
			this.#result.deadlySentMs.push(nowMs);
		}

		const beginsMs = nowMs + 50 + (random() * 300);
		this.#runs.push({
			entry, segments, isDeadly, engine: usable[this.#integer(usable.length)]!, startedMs: nowMs, beginsMs, endsMs: beginsMs + (isDeadly ? 50 + (random() * 80) : 100 + (random() * 1500)),
		});
	}
}
