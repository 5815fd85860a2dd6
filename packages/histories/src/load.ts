/**
 * Callers that keep a fleet busy with new actions, actions sent again, lookups and completions, chosen by seed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createCaller, type Caller} from './caller.js';
import {fleetAccounts} from './fleet-config.js';
import {abortAfter} from './abort-after.js';
import type {Fleet} from './fleet.js';
import type {RequestKind} from './history.js';
import type {SeededRandom} from './random.js';

/** What the callers do. */
export type LoadOptions = {
	readonly callers: number;
	readonly durationMs: number;
	/** How often each kind is sent, relative to the others; a kind that is absent is not sent. */
	readonly mix: Partial<Readonly<Record<RequestKind, number>>>;
	/** Probability that an action is one that some caller of the account has sent before. */
	readonly repeated: number;
	/** Shorter than a pause of a process, so that callers give up and send again elsewhere. */
	readonly timeoutMs?: number;
	/** Prefix of the callers' names; different loads of one fleet need different ones. */
	readonly name?: string;
};

const defaultTimeoutMs = 2500;
const minGapMs = 5;
const maxGapMs = 40;
const maxPromptWords = 30;
const maxTokens = 24;

type Sender = {
	readonly caller: Caller;
	readonly random: SeededRandom;
	/** Action keys of the account so far. */
	readonly sentKeys: string[];
};

const pickKind = (mix: LoadOptions['mix'], random: SeededRandom): RequestKind => {
	const kinds = Object.entries(mix) as Array<[RequestKind, number]>;
	return random.pick(kinds.flatMap(([kind, weight]) => Array.from({length: weight}, () => kind)));
};

const pickActionKey = ({caller, random, sentKeys}: Sender, repeated: number): string => {
	if (sentKeys.length > 0 && random.chance(repeated)) {
		return random.pick(sentKeys);
	}

	const key = `${caller.name}-${sentKeys.length}`;
	sentKeys.push(key);
	return key;
};

const sendOne = async (fleet: Fleet, sender: Sender, {mix, repeated}: LoadOptions): Promise<void> => {
	const {caller, random} = sender;
	const entry = random.pick(fleet.entryNames);
	switch (pickKind(mix, random)) {
		case 'action': {
			await caller.sendAction(entry, pickActionKey(sender, repeated));
			return;
		}

		case 'lookup': {
			await caller.lookUp(entry);
			return;
		}

		case 'completion': {
			const words = Array.from({length: random.integer(1, maxPromptWords)}, () => `word${random.integer(1, 99)}`);
			await caller.complete(entry, words.join(' '), random.integer(1, maxTokens));
		}
	}
};

const runSender = async (fleet: Fleet, sender: Sender, options: LoadOptions, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await sendOne(fleet, sender, options);
		await delay(sender.random.integer(minGapMs, maxGapMs), undefined, {signal}).catch(() => undefined);
	}
};

/** Sends requests for the given time and settles when all of them have ended. Returns the action keys by account. */
export const runLoad = async (fleet: Fleet, options: LoadOptions, signal: AbortSignal): Promise<ReadonlyMap<string, readonly string[]>> => {
	const ending = abortAfter(options.durationMs, signal);
	const keys = new Map<string, string[]>(fleetAccounts.map(account => [account, []]));
	const {name = 'caller', timeoutMs = defaultTimeoutMs} = options;
	await Promise.all(Array.from({length: options.callers}, async (_, index) => {
		const account = fleetAccounts[index % fleetAccounts.length]!;
		const caller = createCaller(fleet, {name: `${name}-${index + 1}`, account, timeoutMs}, signal);
		const sender = {caller, random: fleet.random.fork(), sentKeys: keys.get(account)!};
		await runSender(fleet, sender, options, ending);
	}));
	return keys;
};

/** Sends each action once more, through an entry chosen by seed, as callers do that lost their answer. */
export const sendAllAgain = async (fleet: Fleet, keys: ReadonlyMap<string, readonly string[]>, signal: AbortSignal): Promise<void> => {
	await Promise.all([...keys].map(async ([account, accountKeys]) => {
		const caller = createCaller(fleet, {name: `again-${account}`, account, timeoutMs: defaultTimeoutMs}, signal);
		const random = fleet.random.fork();
		for (const key of accountKeys) {
			await caller.sendAction(random.pick(fleet.entryNames), key);
		}
	}));
};
