/**
 * Limits the load of a decode engine so that long answers complete before their callers' deadlines when there are too few decode engines.
 * A full engine produces the most tokens but spends them on long answers that are cut off at their deadline; at a lower load they complete.
 *
 * Each kind of answers has its own limit, computed from its recent answers only: the mix of kinds changes within seconds, and an
 * entry that has just started must not fill engines before it has seen the mix.
 */
import {getOrCreate} from '../get-or-create.js';
import {OutputLengthDistribution} from './output-length-distribution.js';
import type {DecodeLatencyModel} from './decode-latency-model.js';
import {lowestPriorityLevel, priorityOfLevel} from './priority-level.js';

/** Fraction of the answers of a kind that must be able to meet their deadline: half of the longest 10 % must complete. */
const completedFraction = 0.95;
/** Fraction of the time limit that decoding may take; the prefill takes the remainder. */
const decodeTimeFraction = 0.9;
/** A kind without requests for this time no longer limits the load. */
const inactiveKindMs = 5000;
/** Lower bound of the limit: rejecting requests below this load wastes slots without helping any answer. */
const minLoadLimit = 0.25;
/** Limit for an engine that is too slow for the longest answers even at `minLoadLimit`; a lower load would not make them complete. */
const slowEngineLoadLimit = 0.55;
/** Load by which the limit rises for the most urgent priority and falls for the least urgent one and for late requests. */
const loadPerPriority = 0.1;
/** Load by which the longest answers of a kind may exceed the limit, because the limit reserves this capacity for them. */
const longestAnswersExtraLoad = 0.15;
/** Fraction of the answers of a kind that count as its longest. */
const longestFraction = 0.1;
/** Answers shorter than this fraction of the mean length are admitted at any load, because they take hardly any engine time. */
const shortAnswerFraction = 0.25;

/** A request for an answer, as its caller describes it. */
export type RequestedAnswer = {
	/** Answers of one kind have similar lengths and the same time limit. */
	readonly kind: string;
	/** Length that the caller guesses. */
	readonly guessedTokens: number;
	/** Time until the caller's deadline. */
	readonly limitMs: number;
};

/** A request whose engine is being selected. */
export type AdmittedAnswer = Pick<RequestedAnswer, 'guessedTokens' | 'kind'> & {readonly level: number; readonly nowMs: number};

/** Slowest time per output token at which all answers except the given fraction, the longest ones, meet their deadline. */
const msPerTokenToMeetDeadline = (kind: OutputLengthDistribution, exceedingFraction: number): number => kind.limitMs * decodeTimeFraction / Math.max(1, kind.tokensExceededBy(exceedingFraction));

/** Highest load of an engine at which the long answers of a kind meet their deadline there. */
const loadLimitForKind = (kind: OutputLengthDistribution, latencyModel: DecodeLatencyModel): number => {
	const load = latencyModel.loadAtLatency(msPerTokenToMeetDeadline(kind, 1 - completedFraction));
	if (load >= minLoadLimit) {
		return load;
	}

	return latencyModel.msPerToken(minLoadLimit) <= msPerTokenToMeetDeadline(kind, longestFraction) ? minLoadLimit : slowEngineLoadLimit;
};

/** Load limits of the decode engines of one service, from the output lengths of each kind of answers. */
export class LongAnswerLoadLimit {
	readonly #kinds = new Map<string, OutputLengthDistribution>();

	recordRequested({kind: name, guessedTokens, limitMs}: RequestedAnswer, nowMs: number): void {
		const kind = getOrCreate(this.#kinds, name, () => new OutputLengthDistribution());
		kind.recordRequested({guessedTokens, limitMs}, nowMs);
	}

	/** Records the actual length of a completed answer with the guess for it. */
	recordCompleted({kind, guessedTokens, tokens}: {readonly kind: string; readonly guessedTokens: number; readonly tokens: number}): void {
		this.#kinds.get(kind)?.recordCompleted(guessedTokens, tokens);
	}

	/** Expected length of an answer; the guess itself while nothing is recorded for its kind. */
	expectedTokens(kind: string, guessedTokens: number): number {
		return this.#kinds.get(kind)?.expectedTokens(guessedTokens) ?? guessedTokens;
	}

	/** Highest load at which an engine may take a request. */
	maxLoad(latencyModel: DecodeLatencyModel, {kind, level, guessedTokens, nowMs}: AdmittedAnswer): number {
		const limit = this.#loadLimit(latencyModel, nowMs);
		if (limit >= 1 || this.expectedTokens(kind, guessedTokens) < latencyModel.meanOutputTokens * shortAnswerFraction) {
			return Number.POSITIVE_INFINITY;
		}

		const extraLoad = this.#kinds.get(kind)?.isAmongLongest(guessedTokens, longestFraction) ? longestAnswersExtraLoad : 0;
		return limit + extraLoad + (loadPerPriority * (1 - (level === lowestPriorityLevel ? 2 : Math.min(2, priorityOfLevel(level)))));
	}

	/** Highest load at which the long answers of all kinds that are currently requested meet their deadlines. */
	#loadLimit(latencyModel: DecodeLatencyModel, nowMs: number): number {
		let limit = Number.POSITIVE_INFINITY;
		for (const [name, kind] of this.#kinds) {
			if (nowMs - kind.lastRequestedMs > inactiveKindMs) {
				this.#kinds.delete(name);
			} else {
				limit = Math.min(limit, loadLimitForKind(kind, latencyModel));
			}
		}

		return limit;
	}
}
