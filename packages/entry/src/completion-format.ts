/**
 * The completion and chat formats: reading a request and building answers and stream events.
 */
/* eslint-disable @typescript-eslint/naming-convention -- The fields of the callers' format are in snake case. */
import type {FrameEnd} from '@hawthorncleat/schema';
import {callerError} from './caller-errors.js';

/** Which of the two formats a caller uses. */
export type CompletionKind = 'completion' | 'chat';

/** What a model request asks for. */
export type CompletionRequest = {
	readonly kind: CompletionKind;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
	readonly includeUsage: boolean;
};

const defaultMaxTokens = 256;
/** Limits what one request can make the entry hold of its answer. */
const maxMaxTokens = 65_536;
// English text has about four bytes a token; the engine's own count replaces the estimate at the end.
const bytesPerToken = 4;

export const estimateTokens = (text: string): number => Math.ceil(text.length / bytesPerToken);

const fail = (message: string): never => {
	throw callerError('bad-request', message);
};

const readMaxTokens = (body: Record<string, unknown>): number => {
	const value = body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens;
	const isValid = Number.isInteger(value) && (value as number) >= 1 && (value as number) <= maxMaxTokens;
	return isValid ? value as number : fail(`max_tokens must be an integer from 1 to ${maxMaxTokens}`);
};

const readContent = (content: unknown): string => {
	if (typeof content === 'string') {
		return content;
	}

	if (!Array.isArray(content)) {
		return fail('content of a message must be a string or a list of text parts');
	}

	const parts = content as Array<{type?: unknown; text?: unknown} | null>;
	return parts.map(part => part?.type === 'text' && typeof part.text === 'string'
		? part.text
		: fail('only text parts are supported')).join('');
};

const readMessages = (messages: unknown): string => {
	if (!Array.isArray(messages) || messages.length === 0) {
		return fail('messages must be a list with at least one message');
	}

	const lines = (messages as Array<{role?: unknown; content?: unknown} | null>).map(message => {
		const role = typeof message?.role === 'string' ? message.role : fail('each message needs a role');
		return `${role}: ${readContent(message?.content)}\n`;
	});
	return `${lines.join('')}assistant:`;
};

const readPrompt = (body: Record<string, unknown>): string =>
	typeof body.prompt === 'string' ? body.prompt : fail('prompt must be a string');

const readFlag = (value: unknown, name: string): boolean => {
	if (value !== undefined && value !== null && typeof value !== 'boolean') {
		return fail(`${name} must be true or false`);
	}

	return value === true;
};

/** Reads a request body; unknown fields are ignored, as callers' libraries send many. */
export const readCompletionRequest = (kind: CompletionKind, body: Record<string, unknown>): CompletionRequest => {
	const options = body.stream_options as {include_usage?: unknown} | undefined;
	if (body.n !== undefined && body.n !== null && body.n !== 1) {
		fail('n must be 1');
	}

	return {
		kind,
		model: typeof body.model === 'string' && body.model !== '' ? body.model : fail('model must be a string'),
		prompt: kind === 'chat' ? readMessages(body.messages) : readPrompt(body),
		maxTokens: readMaxTokens(body),
		stream: readFlag(body.stream, 'stream'),
		includeUsage: options?.include_usage === true,
	};
};

/** Fields that all answers to one request share. */
export type AnswerHead = {readonly id: string; readonly created: number; readonly model: string};

/** The end of an answer with the counts that the caller is told. */
export type AnswerEnd = Pick<FrameEnd, 'reason' | 'promptTokens' | 'cachedTokens' | 'outputTokens'>;

const usageOf = (end: AnswerEnd): Record<string, unknown> => ({
	prompt_tokens: end.promptTokens,
	completion_tokens: end.outputTokens,
	total_tokens: end.promptTokens + end.outputTokens,
	prompt_tokens_details: {cached_tokens: end.cachedTokens},
});

const objectName = (kind: CompletionKind, isChunk: boolean): string => {
	if (kind === 'completion') {
		return 'text_completion';
	}

	return isChunk ? 'chat.completion.chunk' : 'chat.completion';
};

/** Builds the answer to a request without streaming. */
export const wholeAnswer = (kind: CompletionKind, head: AnswerHead, text: string, end: AnswerEnd): unknown => {
	const content = kind === 'chat' ? {message: {role: 'assistant', content: text}} : {text, logprobs: null};
	return {
		...head,
		object: objectName(kind, false),
		choices: [{index: 0, ...content, finish_reason: end.reason}],
		usage: usageOf(end),
	};
};

/** Builds one event with tokens. */
export const tokenEvent = (kind: CompletionKind, head: AnswerHead, text: string, isFirst: boolean): unknown => {
	const delta = isFirst ? {role: 'assistant', content: text} : {content: text};
	const content = kind === 'chat' ? {delta} : {text, logprobs: null};
	return {...head, object: objectName(kind, true), choices: [{index: 0, ...content, finish_reason: null}]};
};

/** Builds the events at the end of a complete stream. */
export const endEvents = (kind: CompletionKind, head: AnswerHead, end: AnswerEnd, includeUsage: boolean): unknown[] => {
	const content = kind === 'chat' ? {delta: {}} : {text: '', logprobs: null};
	const object = objectName(kind, true);
	const last = {...head, object, choices: [{index: 0, ...content, finish_reason: end.reason}]};
	return includeUsage
		? [last, {
			...head, object, choices: [], usage: usageOf(end),
		}]
		: [last];
};

/** Builds the list of models. */
export const modelList = (names: readonly string[]): unknown => ({
	object: 'list',
	data: names.map(id => ({
		id, object: 'model', created: 0, owned_by: 'hawthorncleat',
	})),
});
