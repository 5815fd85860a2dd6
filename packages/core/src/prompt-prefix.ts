/**
 * Names of prompt prefixes, in the form `<characters>:<hash>`. Agents report by these names which prefixes an engine has in
 * its KV cache, and entries compare them with the prefixes of a new prompt.
 */
import {createHash} from 'node:crypto';

// Engines identify a cached block by this many hex digits of its SHA-256.
const hashHexDigits = 16;

/** Creates the name of a prefix from its length and the hash by which the engine identifies it. */
export const prefixName = (characters: number, hash: string): string => `${characters}:${hash}`;

/** Returns the number of characters of the prefix with this name. */
export const prefixCharacters = (name: string): number => Number.parseInt(name, 10);

/**
 * Creates the names of the prefixes of a prompt with the given lengths in characters, which must be in ascending order.
 * Lengths beyond the end of the prompt are skipped.
 */
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
		names.push(prefixName(characters, hash.copy().digest('hex').slice(0, hashHexDigits)));
	}

	return names;
};
