/**
 * Which changes of the host list can hide an announced publication from the witnesses of a group. A writer with an older
 * list has announced it to a majority of the group of that list only.
 */
import {hasWitness, isMajority, type WitnessGroup} from './witness-groups.js';

const sharesDataCentre = (a: WitnessGroup, b: WitnessGroup): boolean =>
	a.dataCentres.some(name => b.dataCentres.includes(name));

/** The most witnesses of a group that a writer with a majority has not reached. */
const unheardOf = (size: number): number => size - (Math.floor(size / 2) + 1);

/** Follows the groups of one entry from list to list. */
export class WitnessGroupTracker {
	readonly #entryId: string;
	#own: WitnessGroup | undefined;
	#all: readonly WitnessGroup[] = [];
	/** Largest size of the own group since its witnesses had to settle. */
	#largestSize = 0;

	constructor(entryId: string) {
		this.#entryId = entryId;
	}

	/** Takes over the groups of a new list. True if this entry has to settle before it attests again. */
	update(all: readonly WitnessGroup[], own: WitnessGroup | undefined): boolean {
		const mustSettle = own !== undefined && this.#mustSettle(own);
		const size = own?.witnesses.length ?? 0;
		this.#largestSize = mustSettle ? size : Math.max(this.#largestSize, size);
		this.#own = own;
		this.#all = all;
		return mustSettle;
	}

	#mustSettle(own: WitnessGroup): boolean {
		const hasJoined = hasWitness(own, this.#entryId) && !(this.#own && hasWitness(this.#own, this.#entryId));
		return hasJoined || this.#all.some(old => sharesDataCentre(old, own) && this.#mayMiss(old, own));
	}

	/**
	 * Whether a majority of the new group may lie among those that a writer did not have to reach by the older list: the
	 * minority of its group, and witnesses of other groups. Those that were no witnesses settle because they have joined.
	 */
	#mayMiss(old: WitnessGroup, own: WitnessGroup): boolean {
		const size = old.name === this.#own?.name ? this.#largestSize : old.witnesses.length;
		const inside = own.witnesses.filter(({hostId}) => hasWitness(old, hostId)).length;
		const outsiders = own.witnesses.filter(({hostId}) =>
			!hasWitness(old, hostId) && this.#all.some(group => hasWitness(group, hostId))).length;
		return isMajority(outsiders + Math.min(unheardOf(size), inside), own);
	}
}
