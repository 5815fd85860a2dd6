/**
 * Names of prompt prefixes, by which entries and agents tell each other what an engine has cached: `<characters>:<hash>`.
 */
import {createHash} from 'node:crypto';

// Engines name a block by that many hex digits of its SHA-256.
const hashLength = 16;

/** Name of the prefix that an engine calls `hash`. */
export const prefixName = (characters: number, hash: string): string => `${characters}:${hash}`;

/** Number of characters of a named prefix. */
export const prefixCharacters = (name: string): number => Number.parseInt(name, 10);

/** Names the prefixes of a prompt that have these lengths. Lengths must rise; those beyond the prompt are left out. */
export const namePrefixes = (prompt: string, lengths: readonly number[]): string[] => {
	const hash = createHash('sha256');
	const names: string[] = [];
	let hashedCharacters = 0;
	for (const characters of lengths) {
		if (characters > prompt.length) {
			break;
		}

		hash.update(prompt.slice(hashedCharacters, characters));
		hashedCharacters = characters;
		names.push(prefixName(characters, hash.copy().digest('hex').slice(0, hashLength)));
	}

	return names;
};
