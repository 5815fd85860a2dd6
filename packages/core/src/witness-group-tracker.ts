/**
 * Detects changes of the host list after which a majority of a witness group may have missed the announcement of a pending
 * publication. A writer with an older host list has announced it only to a majority of the group by that list.
 */
import {hasWitness, isMajority, type WitnessGroup} from './witness-groups.js';

const sharesDataCentre = (a: WitnessGroup, b: WitnessGroup): boolean =>
	a.dataCentres.some(name => b.dataCentres.includes(name));

/** Largest number of witnesses that an announcement to a majority of a group has not reached. */
const maxUnreachedWitnesses = (size: number): number => size - (Math.floor(size / 2) + 1);

/** Compares the witness groups of one entry by successive host lists. */
export class WitnessGroupTracker {
	readonly #entryId: string;
	#ownGroup: WitnessGroup | undefined;
	#allGroups: readonly WitnessGroup[] = [];
	/** Largest size of the own group since its last settling period began. */
	#largestSize = 0;

	constructor(entryId: string) {
		this.#entryId = entryId;
	}

	/** Records the groups of a new host list. Returns whether this entry must start a settling period before it attests again. */
	update(allGroups: readonly WitnessGroup[], ownGroup: WitnessGroup | undefined): boolean {
		const mustSettle = ownGroup !== undefined && this.#mustSettle(ownGroup);
		const size = ownGroup?.witnesses.length ?? 0;
		this.#largestSize = mustSettle ? size : Math.max(this.#largestSize, size);
		this.#ownGroup = ownGroup;
		this.#allGroups = allGroups;
		return mustSettle;
	}

	#mustSettle(newGroup: WitnessGroup): boolean {
		const hasJoined = hasWitness(newGroup, this.#entryId) && !(this.#ownGroup && hasWitness(this.#ownGroup, this.#entryId));
		return hasJoined || this.#allGroups.some(oldGroup => sharesDataCentre(oldGroup, newGroup) && this.#mayMissAnnouncement(oldGroup, newGroup));
	}

	/**
	 * Whether a majority of the new group may consist of witnesses that a writer with the older list did not have to reach:
	 * the minority of the old group, and witnesses of other groups. Entries that were no witnesses before are not counted,
	 * because they start a settling period themselves.
	 */
	#mayMissAnnouncement(oldGroup: WitnessGroup, newGroup: WitnessGroup): boolean {
		const oldSize = oldGroup.name === this.#ownGroup?.name ? this.#largestSize : oldGroup.witnesses.length;
		const oldMemberCount = newGroup.witnesses.filter(({hostId}) => hasWitness(oldGroup, hostId)).length;
		const memberCountOfOthers = newGroup.witnesses.filter(({hostId}) =>
			!hasWitness(oldGroup, hostId) && this.#allGroups.some(group => hasWitness(group, hostId))).length;
		return isMajority(memberCountOfOthers + Math.min(maxUnreachedWitnesses(oldSize), oldMemberCount), newGroup);
	}
}
