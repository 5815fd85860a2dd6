/**
 * Tokens of the stand-in engine. A token is a word. Each token of an answer depends only on the prompt and the token's
 * position, so tests can compare an answer that several engines generated with the answer of a single engine.
 */
import {createHash} from 'node:crypto';

const tokenHashLength = 6;
const blockHashLength = 16;

/** With `stop-after=N` in the prompt, the answer ends after N tokens with the reason `stop`, unless `maxTokens` is lower. */
const stopPattern = /\bstop-after=(\d+)/;

/** Splits a prompt into tokens. Joining them yields the prompt. */
export const tokenize = (prompt: string): string[] => prompt.match(/\s*\S+\s*$|\s*\S+|\s+$/g) ?? [];

/** Returns the token of an answer at a position. */
export type TokenAt = (position: number) => string;

/** Creates the function that returns the answer's tokens for one prompt. */
export const createTokenSource = (prompt: string): TokenAt => {
	const promptHash = createHash('sha256').update(prompt);
	return position => {
		const digest = promptHash.copy().update(`\n${position}`).digest('hex');
		return ` ${digest.slice(0, tokenHashLength)}`;
	};
};

/** The number of tokens of an answer and the reason for its end. */
export type AnswerLength = {readonly tokens: number; readonly reason: 'stop' | 'length'};

export const computeAnswerLength = (prompt: string, maxTokens: number): AnswerLength => {
	const stopAfter = Number(stopPattern.exec(prompt)?.[1] ?? Number.POSITIVE_INFINITY);
	return stopAfter <= maxTokens ? {tokens: stopAfter, reason: 'stop'} : {tokens: maxTokens, reason: 'length'};
};

/** Computes the tokens that a single engine without faults generates. */
export const computeExpectedAnswer = (prompt: string, maxTokens: number): string[] => {
	const tokenAt = createTokenSource(prompt);
	const {tokens} = computeAnswerLength(prompt, maxTokens);
	return Array.from({length: tokens}, (_, position) => tokenAt(position));
};

/** A block of the prompt cache. The hash and the number of characters cover the prompt up to the end of the block. */
export type PrefixBlock = {readonly hash: string; readonly characters: number};

/** Divides a prompt into whole blocks of `blockTokens` tokens. An incomplete last block is left out. */
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
