/**
 * Tokens of the stand-in engine. A token is a word; token i of an answer depends only on the prompt and i, so that an
 * answer assembled from several engines can be compared with that of a single one.
 */
import {createHash} from 'node:crypto';

const tokenHashLength = 6;
const blockHashLength = 16;

/** A prompt that contains `stop-after=N` is answered with at most N tokens and the reason `stop`. */
const stopPattern = /\bstop-after=(\d+)/;

/** Splits a prompt into tokens; joined, they give the prompt again. */
export const tokenize = (prompt: string): string[] => prompt.match(/\s*\S+\s*$|\s*\S+|\s+$/g) ?? [];

/** A source of the answer's tokens by their position. */
export type TokenAt = (position: number) => string;

/** Returns the function from position to token for one prompt. */
export const createTokenSource = (prompt: string): TokenAt => {
	const promptHash = createHash('sha256').update(prompt);
	return position => {
		const digest = promptHash.copy().update(`\n${position}`).digest('hex');
		return ` ${digest.slice(0, tokenHashLength)}`;
	};
};

/** Length of an answer and why it ends there. */
export type AnswerLength = {readonly tokens: number; readonly reason: 'stop' | 'length'};

export const computeAnswerLength = (prompt: string, maxTokens: number): AnswerLength => {
	const stopAfter = Number(stopPattern.exec(prompt)?.[1] ?? Number.POSITIVE_INFINITY);
	return stopAfter <= maxTokens ? {tokens: stopAfter, reason: 'stop'} : {tokens: maxTokens, reason: 'length'};
};

/** The tokens that a single engine without faults answers. */
export const computeExpectedAnswer = (prompt: string, maxTokens: number): string[] => {
	const tokenAt = createTokenSource(prompt);
	const {tokens} = computeAnswerLength(prompt, maxTokens);
	return Array.from({length: tokens}, (_, position) => tokenAt(position));
};

/** A block of the prompt cache, named by the hash of the whole prompt up to its end. */
export type PrefixBlock = {readonly hash: string; readonly characters: number};

/** Cuts a prompt into its whole blocks of `blockTokens`; the rest is not cached. */
export const computePrefixBlocks = (prompt: string, blockTokens: number): PrefixBlock[] => {
	const tokens = tokenize(prompt);
	const hash = createHash('sha256');
	const blocks: PrefixBlock[] = [];
	let characters = 0;
	for (const [index, token] of tokens.entries()) {
		hash.update(token);
		characters += token.length;
		if ((index + 1) % blockTokens === 0) {
			blocks.push({hash: hash.copy().digest('hex').slice(0, blockHashLength), characters});
		}
	}

	return blocks;
};
