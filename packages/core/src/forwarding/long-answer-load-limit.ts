/**
 * How full a decode engine may be so that the long answers of its mix still end before their callers' limits. Answers the
 * load of too few decode engines: a full engine gives the most tokens, but spends them on long answers that are broken off at
 * their limit, while a less crowded one ends them all.
 *
 * Each kind of answers is judged by itself and by its last answers: the mix of kinds turns within seconds, and an entry that has just
 * started must not fill engines until it has learned the mix.
 */
import {getOrCreate} from '../get-or-create.js';
import {OutputLengthDistribution} from './output-length-distribution.js';
import type {DecodeLatencyModel} from './decode-latency-model.js';
import {lowestPriorityLevel, priorityOfLevel} from './priority-level.js';

/** Part of the answers of a kind that must be able to end in time: of the largest tenth, half must be served. */
const endingPart = 0.95;
/** Part of the time limit that an answer may take; its prompt takes the rest. */
const answerPart = 0.9;
/** A kind that nobody has asked for in this time needs no room. */
const forgottenMs = 5000;
/** An engine is always filled so far: refusing with more places free serves nobody. */
const minLoad = 0.25;
/** An engine at which none of the largest answers would end even so is filled up to here; keeping it calm serves nobody either. */
const minLoadOfSlow = 0.55;
/** What the urgent may fill beyond the others, and the least urgent and late ones less. */
const priorityPart = 0.1;
/** What the largest answers of a kind may fill beyond the others: the room that is kept free is theirs. */
const largestRoom = 0.15;
/** Part of the answers of a kind that count as its largest. */
const largestPart = 0.1;
/** Answers of less than this part of the mean one take next to nothing of an engine. */
const shortPart = 0.25;

/** An answer that is asked for. */
export type RequestedAnswer = {
	/** Answers of one kind have sizes and limits in common. */
	readonly kind: string;
	/** Length that its caller guesses. */
	readonly guessedTokens: number;
	/** Time until the caller's limit. */
	readonly limitMs: number;
};

/** An answer whose engine is chosen. */
export type AdmittedAnswer = Pick<RequestedAnswer, 'guessedTokens' | 'kind'> & {readonly level: number; readonly nowMs: number};

/** Time of a token at which an answer of a kind still ends that this part of them exceeds. */
const paceFor = (kind: OutputLengthDistribution, exceededBy: number): number => kind.limitMs * answerPart / Math.max(1, kind.tokensExceededBy(exceededBy));

/** Load of an engine up to which the long answers of a kind end there. */
const loadFor = (kind: OutputLengthDistribution, pace: DecodeLatencyModel): number => {
	const load = pace.loadAtLatency(paceFor(kind, 1 - endingPart));
	if (load >= minLoad) {
		return load;
	}

	return pace.msPerToken(minLoad) <= paceFor(kind, largestPart) ? minLoad : minLoadOfSlow;
};

/** What the answers of one service are like, by kind. */
export class LongAnswerLoadLimit {
	readonly #kinds = new Map<string, OutputLengthDistribution>();

	/** Notes an answer that is asked for. */
	recordRequested({kind: name, guessedTokens, limitMs}: RequestedAnswer, nowMs: number): void {
		const kind = getOrCreate(this.#kinds, name, () => new OutputLengthDistribution());
		kind.recordRequested({guessedTokens, limitMs}, nowMs);
	}

	/** Notes how long an answer was that has ended. */
	recordCompleted({kind, guessedTokens, tokens}: {readonly kind: string; readonly guessedTokens: number; readonly tokens: number}): void {
		this.#kinds.get(kind)?.recordCompleted(guessedTokens, tokens);
	}

	/** Length to expect of an answer. */
	expectedTokens(kind: string, guessedTokens: number): number {
		return this.#kinds.get(kind)?.expectedTokens(guessedTokens) ?? guessedTokens;
	}

	/** Load up to which an engine takes an answer. */
	maxLoad(pace: DecodeLatencyModel, {kind, level, guessedTokens, nowMs}: AdmittedAnswer): number {
		const load = this.#loadFor(pace, nowMs);
		if (load >= 1 || this.expectedTokens(kind, guessedTokens) < pace.meanOutputTokens * shortPart) {
			return Number.POSITIVE_INFINITY;
		}

		const room = this.#kinds.get(kind)?.isAmongLongest(guessedTokens, largestPart) ? largestRoom : 0;
		return load + room + (priorityPart * (1 - (level === lowestPriorityLevel ? 2 : Math.min(2, priorityOfLevel(level)))));
	}

	/** Load of an engine up to which the long answers of all kinds end that are asked for now. */
	#loadFor(pace: DecodeLatencyModel, nowMs: number): number {
		let load = Number.POSITIVE_INFINITY;
		for (const [name, kind] of this.#kinds) {
			if (nowMs - kind.lastRequestedMs > forgottenMs) {
				this.#kinds.delete(name);
			} else {
				load = Math.min(load, loadFor(kind, pace));
			}
		}

		return load;
	}
}
