/**
 * Usage of the client accounts. Each entry writes one cumulative part per window; the parts of a window are added up
 * once when the window is frozen.
 */
import type {UsageFigure} from '@hawthorncleat/schema';
import type {ClientAccountName, WindowId} from './ids.js';

/** What one request used. */
export type Usage = {readonly promptTokens: number; readonly outputTokens: number; readonly serviceCalls: number};

/** All that one incarnation of an entry metered in one window up to now. */
export type UsagePart = {
	readonly window: WindowId;
	readonly entryId: string;
	readonly incarnation: string;
	readonly sequence: number;
	readonly figures: readonly UsageFigure[];
};

/** The incarnation of an entry that a part belongs to. */
export type UsageOwner = {readonly entryId: string; readonly incarnation: string};

type MeteredWindow = {figures: Map<ClientAccountName, UsageFigure>; sequence: number; flushedSequence: number};

const byAccount = (a: UsageFigure, b: UsageFigure): number => {
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
 * Object key of a state of a part. Rule `state-object` of models/usage-window.pml: the sequence in the key gives each state
 * its own object. A write that is delayed in the network, or sent again, therefore never puts an older state back.
 */
export const usageObjectKey = (part: UsagePart): string =>
	`usage/${part.window}/${part.entryId}/${part.incarnation}/${part.sequence}`;

/** A state of a part as its object key names it. */
export type PartState = {readonly objectKey: string; readonly partKey: string; readonly sequence: number};

/** Reads the key of an object with a state of a part; undefined if it has another form. */
export const parseUsageObjectKey = (objectKey: string): PartState | undefined => {
	const groups = /^(?<partKey>usage\/\d+\/.+)\/(?<sequence>\d+)$/.exec(objectKey)?.groups;
	const sequence = Number(groups?.sequence);
	return groups && Number.isSafeInteger(sequence) ? {objectKey, partKey: groups.partKey!, sequence} : undefined;
};

/** Adds up usage per window and account until it has been flushed. */
export class UsageMeter {
	readonly #owner: () => UsageOwner;
	readonly #windows = new Map<WindowId, MeteredWindow>();

	constructor(owner: () => UsageOwner) {
		this.#owner = owner;
	}

	/** Number of windows in memory. */
	get windowCount(): number {
		return this.#windows.size;
	}

	record(window: WindowId, account: ClientAccountName, usage: Usage): void {
		const metered = this.#windows.get(window) ?? {figures: new Map<ClientAccountName, UsageFigure>(), sequence: 0, flushedSequence: 0};
		addTo(metered.figures, account, usage);
		metered.sequence += 1;
		this.#windows.set(window, metered);
	}

	/** The parts that have changed since they were last flushed. */
	unflushedParts(): UsagePart[] {
		return [...this.#windows]
			.filter(([, metered]) => metered.sequence > metered.flushedSequence)
			.map(([window, metered]) => ({
				window,
				...this.#owner(),
				sequence: metered.sequence,
				figures: [...metered.figures.values()].toSorted(byAccount),
			}));
	}

	/** Notes that a part has been written. */
	markFlushed(part: UsagePart): void {
		const metered = this.#windows.get(part.window);
		if (metered) {
			metered.flushedSequence = Math.max(metered.flushedSequence, part.sequence);
		}
	}

	/** Forgets the windows that are flushed and over. */
	dropFlushed(currentWindow: WindowId): void {
		for (const [window, metered] of this.#windows) {
			if (window !== currentWindow && metered.flushedSequence === metered.sequence) {
				this.#windows.delete(window);
			}
		}
	}
}
