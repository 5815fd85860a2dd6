/**
 * Finds tokens in the two formats of streamed answers: the engine's lines and the entry's server-sent events.
 */

/** `engine`: newline-delimited JSON; `events`: server-sent events with several words in a text. */
export type TokenFormat = 'engine' | 'events';

export type CountedLines = {
	readonly tokens: number;
	/** The start of a line that has not ended. */
	readonly rest: string;
};

const dataPrefix = 'data: ';

const countInEvent = (line: string): number => {
	if (!line.startsWith(`${dataPrefix}{`)) {
		return 0;
	}

	const {choices = []} = JSON.parse(line.slice(dataPrefix.length)) as {choices?: ReadonlyArray<{text?: string}>};
	// The stand-in's tokens are words with a space before them.
	return choices.reduce((sum, {text = ''}) => sum + (text.match(/\S+/g) ?? []).length, 0);
};

const countInLine = (line: string): number => (line !== '' && 'token' in (JSON.parse(line) as Record<string, unknown>) ? 1 : 0);

/** Counts the tokens in whole lines. */
export const countTokenLines = (format: TokenFormat, text: string): CountedLines => {
	const lines = text.split('\n');
	const rest = lines.pop()!;
	const countTokens = format === 'engine' ? countInLine : countInEvent;
	return {tokens: lines.reduce((sum, line) => sum + countTokens(line), 0), rest};
};
