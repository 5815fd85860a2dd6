/**
 * Keeps the bytes of a body in a few slabs, whatever the size of its chunks: a chunk that is kept would keep its object and the buffer alive into which
 * the socket was read.
 */
import {Buffer} from 'node:buffer';

const firstSlabBytes = 1024;
const maxSlabBytes = 65_536;

export class CompactBytes {
	readonly #mayTake: (bytes: number) => boolean;
	readonly #slabs: Buffer[] = [];
	#length = 0;
	/** Unused bytes of the last slab. */
	#free = 0;
	#nextSlabBytes: number;

	/** `mayTake` is asked for the bytes of each slab. `expectedBytes`: the length, if it is known. */
	constructor(mayTake: (bytes: number) => boolean, expectedBytes = firstSlabBytes) {
		this.#mayTake = mayTake;
		this.#nextSlabBytes = Math.max(1, Math.min(expectedBytes, maxSlabBytes));
	}

	get length(): number {
		return this.#length;
	}

	/** Copies a chunk; false if there is no room for it. */
	append(chunk: Buffer): boolean {
		let copied = 0;
		while (copied < chunk.length) {
			if (this.#free === 0 && !this.#addSlab()) {
				return false;
			}

			const slab = this.#slabs.at(-1)!;
			const bytes = chunk.copy(slab, slab.length - this.#free, copied);
			copied += bytes;
			this.#free -= bytes;
			this.#length += bytes;
		}

		return true;
	}

	/** All bytes in one buffer; undefined if there is no room for it. Empties the slabs. */
	toBuffer(): Buffer | undefined {
		if (this.#slabs.length <= 1) {
			const [slab] = this.#slabs.splice(0);
			return slab?.subarray(0, this.#length) ?? Buffer.alloc(0);
		}

		return this.#mayTake(this.#length) ? Buffer.concat(this.#slabs.splice(0), this.#length) : undefined;
	}

	/** Forgets the bytes. */
	clear(): void {
		this.#slabs.length = 0;
		this.#free = 0;
	}

	#addSlab(): boolean {
		const bytes = this.#nextSlabBytes;
		if (!this.#mayTake(bytes)) {
			return false;
		}

		this.#slabs.push(Buffer.allocUnsafeSlow(bytes));
		this.#free = bytes;
		this.#nextSlabBytes = Math.min(maxSlabBytes, Math.max(firstSlabBytes, bytes * 2));
		return true;
	}
}
