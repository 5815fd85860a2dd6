import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {ActionMemory} from '../action-memory.js';

type Memory = Pick<ActionMemory, 'begin' | 'noteNotRun'>;
type Message = {readonly claim: number; readonly isConnectionRefused: boolean};

const messages = fc.array(
	fc.record({claim: fc.nat({max: 3}), isConnectionRefused: fc.boolean()}),
	{maxLength: 12, size: 'max'},
);

/** A memory that keeps only the newest claim of an action. */
class NewestOnly implements Memory {
	#newest = '';
	#isNotRun = true;

	begin({claimId}: {readonly claimId: string}): void {
		if (this.#newest === claimId || !this.#isNotRun) {
			throw new Error('duplicate');
		}

		this.#newest = claimId;
		this.#isNotRun = false;
	}

	noteNotRun(): void {
		this.#isNotRun = true;
	}
}

/** Whether the memory takes the message. */
const isTaken = (memory: Memory, action: {readonly actionId: string; readonly claimId: string}): boolean => {
	try {
		memory.begin(action);
		return true;
	} catch {
		return false;
	}
};

/** Delivers messages of several claims of one action, each any number of times and in any order. */
const deliver = (memory: Memory, list: readonly Message[]): void => {
	const taken = new Set<number>();
	let runs = 0;
	for (const {claim, isConnectionRefused} of list) {
		const action = {actionId: 'a', claimId: `c${claim}`};
		if (!isTaken(memory, action)) {
			continue;
		}

		assert.not(taken.has(claim), `claim ${claim} was taken twice`);
		taken.add(claim);
		if (isConnectionRefused) {
			memory.noteNotRun(action);
		} else {
			runs += 1;
		}
	}

	assert.ok(runs <= 1, 'the action ran twice');
};

const search = (createMemory: () => Memory): string => {
	const property = fc.property(messages, list => {
		deliver(createMemory(), list);
	});
	return String(fc.check(property, {seed: 20_266, numRuns: 2000}).errorInstance);
};

describe('action memory', () => {
	// Guards against a claim that was answered with "not run" and runs when its message comes again.
	it('takes each claim once and runs the action once, whatever messages come again', () => {
		assert.is(search(() => new ActionMemory()), 'null');
	});

	it('would notice a memory that keeps only the newest claim', () => {
		assert.match(search(() => new NewestOnly()), 'was taken twice');
	});
});
