/**
 * Meters the usage of client accounts. For each usage window, an entry writes one cumulative usage part: its totals per
 * account since the start of the window. The parts of all entries are added up once, when the window is frozen.
 */
import type {UsageFigure} from '@hawthorncleat/schema';
import type {ClientAccountName, WindowId} from './ids.js';

/** The usage of one request. */
export type Usage = {readonly promptTokens: number; readonly outputTokens: number; readonly serviceCalls: number};

/** The usage that one incarnation of an entry has metered in one window so far. */
export type UsagePart = {
	readonly window: WindowId;
	readonly entryId: string;
	readonly incarnation: string;
	readonly sequence: number;
	readonly figures: readonly UsageFigure[];
};

/** The incarnation of an entry that meters the usage of a part. */
export type UsageOwner = {readonly entryId: string; readonly incarnation: string};

type MeteredWindow = {figures: Map<ClientAccountName, UsageFigure>; sequence: number; flushedSequence: number};

const compareByAccount = (a: UsageFigure, b: UsageFigure): number => {
	if (a.clientAccount === b.clientAccount) {
		return 0;
	}

	return a.clientAccount < b.clientAccount ? -1 : 1;
};

const addTo = (figures: Map<string, UsageFigure>, clientAccount: string, usage: Usage): void => {
	const before = figures.get(clientAccount);
	figures.set(clientAccount, {
		clientAccount,
		promptTokens: (before?.promptTokens ?? 0) + usage.promptTokens,
		outputTokens: (before?.outputTokens ?? 0) + usage.outputTokens,
		serviceCalls: (before?.serviceCalls ?? 0) + usage.serviceCalls,
	});
};

/**
 * Returns the object key of one state of a usage part. Rule `state-object` of models/usage-window.pml: the key contains the
 * sequence number, so each state is an object of its own. A delayed or repeated write can therefore never replace a newer
 * state by an older one.
 */
export const usageObjectKey = (part: UsagePart): string =>
	`usage/${part.window}/${part.entryId}/${part.incarnation}/${part.sequence}`;

/** The information in the object key of one state of a usage part. */
export type PartState = {readonly objectKey: string; readonly partKey: string; readonly sequence: number};

/** Parses the object key of one state of a usage part. Returns undefined if the key has another form. */
export const parseUsageObjectKey = (objectKey: string): PartState | undefined => {
	const groups = /^(?<partKey>usage\/\d+\/.+)\/(?<sequence>\d+)$/.exec(objectKey)?.groups;
	const sequence = Number(groups?.sequence);
	return groups && Number.isSafeInteger(sequence) ? {objectKey, partKey: groups.partKey!, sequence} : undefined;
};

/** Adds up usage per window and account, and holds it in memory until it has been written. */
export class UsageMeter {
	readonly #owner: () => UsageOwner;
	readonly #windows = new Map<WindowId, MeteredWindow>();

	constructor(owner: () => UsageOwner) {
		this.#owner = owner;
	}

	get windowCount(): number {
		return this.#windows.size;
	}

	record(window: WindowId, account: ClientAccountName, usage: Usage): void {
		const metered = this.#windows.get(window) ?? {figures: new Map<ClientAccountName, UsageFigure>(), sequence: 0, flushedSequence: 0};
		addTo(metered.figures, account, usage);
		metered.sequence += 1;
		this.#windows.set(window, metered);
	}

	/** Returns the parts that have changed since they were last written. */
	unflushedParts(): UsagePart[] {
		return [...this.#windows]
			.filter(([, metered]) => metered.sequence > metered.flushedSequence)
			.map(([window, metered]) => ({
				window,
				...this.#owner(),
				sequence: metered.sequence,
				figures: [...metered.figures.values()].toSorted(compareByAccount),
			}));
	}

	/** Records that a part has been written. */
	markFlushed(part: UsagePart): void {
		const metered = this.#windows.get(part.window);
		if (metered) {
			metered.flushedSequence = Math.max(metered.flushedSequence, part.sequence);
		}
	}

	/** Removes the windows that have ended and are completely written. */
	dropFlushed(currentWindow: WindowId): void {
		for (const [window, metered] of this.#windows) {
			if (window !== currentWindow && metered.flushedSequence === metered.sequence) {
				this.#windows.delete(window);
			}
		}
	}
}
