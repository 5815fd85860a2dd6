/**
 * How full a decode engine may be so that the long answers of its mix still end before their callers' limits. Answers the
 * load of too few decode engines: a full engine gives the most tokens, but spends them on long answers that are broken off at
 * their limit, while a less crowded one ends them all.
 *
 * Each kind of answers is judged by itself and by its last answers: the mix of kinds turns within seconds, and an entry that has just
 * started must not fill engines until it has learned the mix.
 */
import type {DecodePace} from './decode-pace.js';
import {lateLevel, priorityOfLevel} from './queue-level.js';

/** Part of the answers of a kind that must be able to end in time: of the largest tenth, half must be served. */
const endingPart = 0.95;
/** Part of the time limit that an answer may take; its prompt takes the rest. */
const answerPart = 0.9;
/** Answers of a kind that are remembered; the five largest of a hundred may break off. */
const rememberedAnswers = 100;
/** A kind that nobody has asked for in this time needs no room. */
const forgottenMs = 5000;
/** An engine is always filled so far: refusing with more places free serves nobody. */
const minLoad = 0.55;
/** What the urgent may fill beyond the others, and the least urgent and late ones less. */
const priorityPart = 0.1;
/** What the largest answers of a kind may fill beyond the others: the room that is kept free is theirs. */
const largestRoom = 0.15;
/** Part of the answers of a kind that count as its largest. */
const largestPart = 0.1;
/** Answers of less than this part of the mean one take next to nothing of an engine. */
const shortPart = 0.25;

/** An answer that is asked for. */
export type AskedAnswer = {
	/** Answers of one kind have sizes and limits in common. */
	readonly kind: string;
	readonly outputTokens: number;
	/** Time until the caller's limit. */
	readonly limitMs: number;
};

/** An answer whose engine is chosen. */
export type AdmittedAnswer = Pick<AskedAnswer, 'kind' | 'outputTokens'> & {readonly level: number; readonly nowMs: number};

/** The last answers of one kind. */
class AnswerKind {
	/** When this kind was last asked for. */
	lastMs = 0;
	readonly #asked: Array<Pick<AskedAnswer, 'limitMs' | 'outputTokens'>> = [];
	#next = 0;
	#sizes: readonly number[] | undefined;

	note({outputTokens, limitMs}: AskedAnswer, nowMs: number): void {
		this.#asked[this.#next] = {outputTokens, limitMs};
		this.#next = (this.#next + 1) % rememberedAnswers;
		this.#sizes = undefined;
		this.lastMs = nowMs;
	}

	/** Pace at which the long answers of this kind end. */
	get neededMsPerToken(): number {
		// A caller that comes back has less time left; the limit of the kind is that of its first attempts.
		const limitMs = Math.max(...this.#asked.map(asked => asked.limitMs));
		return limitMs * answerPart / Math.max(1, this.#sizeAt(1 - endingPart));
	}

	/** Whether an answer is among the largest of its kind. */
	isLargest(outputTokens: number): boolean {
		return outputTokens > this.#sizeAt(largestPart);
	}

	/** Size that this part of the answers exceeds. */
	#sizeAt(part: number): number {
		this.#sizes ??= this.#asked.map(({outputTokens}) => outputTokens).toSorted((a, b) => b - a);
		return this.#sizes[Math.floor(this.#sizes.length * part)] ?? 0;
	}
}

/** Pace that the long answers of one service need. */
export class LongAnswers {
	readonly #kinds = new Map<string, AnswerKind>();

	/** Notes an answer that is asked for. */
	note(asked: AskedAnswer, nowMs: number): void {
		const kind = this.#kinds.get(asked.kind) ?? new AnswerKind();
		this.#kinds.set(asked.kind, kind);
		kind.note(asked, nowMs);
	}

	/** Load up to which an engine takes an answer. */
	maxLoad(pace: DecodePace, {kind, level, outputTokens, nowMs}: AdmittedAnswer): number {
		const needed = this.#neededMsPerToken(nowMs);
		if (outputTokens < pace.streamTokens * shortPart) {
			return Number.POSITIVE_INFINITY;
		}

		const load = Math.max(minLoad, pace.loadAt(needed));
		if (load >= 1) {
			return Number.POSITIVE_INFINITY;
		}

		const room = this.#kinds.get(kind)?.isLargest(outputTokens) ? largestRoom : 0;
		return load + room + (priorityPart * (1 - (level === lateLevel ? 2 : Math.min(2, priorityOfLevel(level)))));
	}

	/** The quickest pace that any kind needs that is asked for now. */
	#neededMsPerToken(nowMs: number): number {
		let needed = Number.POSITIVE_INFINITY;
		for (const [name, kind] of this.#kinds) {
			if (nowMs - kind.lastMs > forgottenMs) {
				this.#kinds.delete(name);
			} else {
				needed = Math.min(needed, kind.neededMsPerToken);
			}
		}

		return needed;
	}
}
