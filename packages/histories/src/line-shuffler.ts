/**
 * Repeats and delays lines of one direction of an internal connection. TCP itself keeps the order, but a receiver sees the
 * same lines late, twice or crossed when a stream is resumed while frames of its earlier listener are still under way.
 */
import {LineReader} from '@hawthorncleat/wire';
import type {SeededRandom} from './random.js';

/** Of each ten frames, this many are touched; more would leave few streams without a resume. */
const touchedOfTen = 2;
const maxDelayLines = 6;
const framePattern = /"method":"request\.frame"/;

type Held = {readonly line: string; linesLeft: number};

/** Turns the chunks of a connection into the chunks to be sent on. */
export class LineShuffler {
	readonly #random: SeededRandom;
	readonly #held: Held[] = [];
	readonly #reader = new LineReader();
	#touched = 0;

	constructor(random: SeededRandom) {
		this.#random = random;
	}

	/** Number of frames that were repeated or delayed. */
	get touched(): number {
		return this.#touched;
	}

	push(chunk: Uint8Array): string {
		return this.#reader.push(chunk).flatMap(line => this.#pass(line)).map(line => `${line}\n`).join('');
	}

	#pass(line: string): string[] {
		const due = this.#takeDue();
		if (!line.includes('"method":"request.frame"') || this.#random.integer(0, 9) >= touchedOfTen) {
			return [line, ...due];
		}

		this.#touched += 1;
		this.#held.push({line, linesLeft: this.#random.integer(1, maxDelayLines)});
		const isRepeated = this.#random.integer(0, 1) === 0;
		return isRepeated ? [line, ...due] : due;
	}

	#takeDue(): string[] {
		const due: string[] = [];
		for (const held of this.#held) {
			held.linesLeft -= 1;
			if (held.linesLeft <= 0) {
				due.push(held.line);
				this.#held.splice(this.#held.indexOf(held), 1);
			}
		}

		return due;
	}
}
