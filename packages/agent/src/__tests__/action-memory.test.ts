import type {RequestError} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {Peer} from '@hawthorncleat/wire';
import {ActionMemory, maxActions} from '../action-memory.js';
import {ActionMessages} from '../action-messages.js';

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

	// Guards against an agent whose memory grows with each action of its life.
	it('keeps a bounded number of actions', () => {
		const memory = new ActionMemory();
		for (let count = 0; count < 1_000_000; count++) {
			memory.begin({actionId: `a${count}`, claimId: 'c'});
		}

		assert.is(memory.size, maxActions);
	});

	it('would notice a memory that keeps only the newest claim', () => {
		assert.match(search(() => new NewestOnly()), 'was taken twice');
	});
});

const steps = fc.array(
	fc.record({kind: fc.constantFrom('send', 'send', 'copy', 'copy', 'replace'), index: fc.nat()}),
	{maxLength: 40, size: 'max'},
);

// The messages only compare peers.
const createPeer = (): Peer => Object.create(null) as Peer;

const isAccepted = (messages: ActionMessages, peer: Peer, message: {readonly connection: number; readonly number: number}): boolean => {
	try {
		messages.receive(peer, {actionId: 'a', claimId: 'c', ...message});
		return true;
	} catch (error) {
		assert.is((error as RequestError).ran, 'unknown');
		return false;
	}
};

/** Accepts messages without looking at the connection. */
class NumberOnly extends ActionMessages {
	override receive(peer: Peer, message: {readonly number: number; readonly actionId: string; readonly claimId: string}): void {
		super.receive(peer, {...message, connection: this.open(peer)});
	}
}

/** Sends messages in order over connections that are replaced, with copies of earlier ones over the newest connection. */
const deliverCopies = (messages: ActionMessages, list: ReadonlyArray<{readonly kind: string; readonly index: number}>): void => {
	let peer = createPeer();
	let connection = messages.open(peer);
	let number = 0;
	const sent: Array<{readonly connection: number; readonly number: number}> = [];
	for (const {kind, index} of list) {
		if (kind === 'replace') {
			peer = createPeer();
			connection = messages.open(peer);
			number = 0;
		} else if (kind === 'send') {
			number += 1;
			sent.push({connection, number});
			assert.ok(isAccepted(messages, peer, {connection, number}), 'a new message was refused');
		} else if (sent.length > 0) {
			assert.not(isAccepted(messages, peer, sent[index % sent.length]!), 'a copy was accepted');
		}
	}
};

const searchCopies = (createMessages: () => ActionMessages): string => {
	const property = fc.property(steps, list => {
		deliverCopies(createMessages(), list);
	});
	return String(fc.check(property, {seed: 20_267, numRuns: 2000}).errorInstance);
};

describe('action messages', () => {
	// Guards against an action that runs again when its message arrives a second time, however much came between.
	it('accepts each message once, and none over another connection', () => {
		assert.is(searchCopies(() => new ActionMessages()), 'null');
	});

	it('would notice numbers that are compared over all connections', () => {
		assert.match(searchCopies(() => new NumberOnly()), 'a copy was accepted');
	});
});
