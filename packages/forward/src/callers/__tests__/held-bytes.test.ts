import {Buffer} from 'node:buffer';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {CompactBytes} from '../compact-bytes.js';
import {HeldBytes, smallBytes} from '../held-bytes.js';
import {createHostBudget} from '../host-budget.js';
import {pickYielding} from '../yielding-connection.js';

const seed = 6401;
const capacity = 40 * 1024 * 1024;

/** Takes from many holders: group, size and whether the holder gives everything back afterwards. */
const steps = fc.array(fc.tuple(fc.nat(5), fc.integer({min: 1, max: 4_194_304}), fc.boolean()), {maxLength: 200});

describe('the memory budget of callers', () => {
	it('never exceeds its capacity and ends empty; guards against bytes that are counted twice or never given back', () => {
		fc.assert(fc.property(steps, taken => {
			const budget = new HeldBytes(capacity);
			const holdings = taken.map(([group, bytes, isEnding]) => {
				const holding = budget.open([`g${group}`, 'all']);
				holding.take(bytes);
				assert.ok(budget.held <= capacity);
				if (isEnding) {
					holding.release();
				}

				return holding;
			});
			for (const holding of holdings) {
				holding.release();
			}

			assert.is(budget.held, 0);
		}), {seed});
	});

	it('takes nothing when a reader ends after its request was released; guards against bytes that stay counted for good', () => {
		const budget = new HeldBytes(capacity);
		const holding = budget.open(['a']);
		holding.take(smallBytes);
		holding.release();
		holding.give(-smallBytes);
		assert.is(budget.held, 0);
	});

	it('has room for a small request of a further account, whatever large ones of others hold; guards against a crowd that keeps ordinary callers out', () => {
		fc.assert(fc.property(steps, taken => {
			const budget = new HeldBytes(capacity);
			for (const [group, bytes] of taken) {
				budget.open([`g${group}`]).take(bytes + smallBytes);
			}

			assert.ok(budget.open(['new']).take(smallBytes));
		}), {seed});
	});

	it('has room for a single body of the largest size on the smallest host; guards against a limit that callers within theirs meet', () => {
		const {heldBytes} = createHostBudget({hostLimits: {memoryBytes: 210 * 1024 * 1024}});
		const budget = new HeldBytes(heldBytes);
		const holding = budget.open(['a', 'b']);
		const bytes = new CompactBytes(size => holding.take(size));
		for (let sent = 0; sent < 4_194_304; sent += 65_536) {
			assert.ok(bytes.append(Buffer.alloc(65_536, 1)));
		}

		assert.is(bytes.toBuffer()?.length, 4_194_304);
	});
});

describe('compact bytes', () => {
	it('are the bytes of the chunks and take less than twice their size; guards against damaged bodies and memory beside the budget', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 5000}), {maxLength: 60}), fc.option(fc.nat(100_000)), (chunks, length) => {
			let taken = 0;
			const bytes = new CompactBytes(size => {
				taken += size;
				return true;
			}, length ?? undefined);
			for (const chunk of chunks) {
				bytes.append(Buffer.from(chunk));
			}

			const whole = Buffer.concat(chunks);
			assert.ok(length !== null || taken <= Math.max(1024, whole.length * 3));
			assert.ok(whole.equals(bytes.toBuffer()!));
		}), {seed});
	});
});

describe('the connection that yields', () => {
	it('has no request and is of an address with the most connections, if there is one; guards against an address that takes the room of the others', () => {
		const candidates = fc.array(fc.record({address: fc.constantFrom('a', 'b', 'c'), isServing: fc.boolean()}), {maxLength: 30});
		fc.assert(fc.property(candidates, open => {
			const picked = pickYielding(open, 'new');
			const free = open.filter(({isServing}) => !isServing);
			const count = (address: string): number => open.filter(candidate => candidate.address === address).length;
			assert.is(picked !== undefined, free.length > 0);
			assert.ok(!picked || (!picked.isServing && free.every(({address}) => count(address) <= count(picked.address))));
		}), {seed});
	});
});
