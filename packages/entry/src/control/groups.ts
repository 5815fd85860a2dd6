/**
 * The witness groups of the fleet by the current host list, for the parts of an entry that depend on them.
 */
import {
	createWitnessGroups, findOwnGroup, type DutyWitness, type RecentGroups, type Witness, type WitnessGroup,
} from '@hawthorncleat/core';
import type {EntrySettings} from '@hawthorncleat/schema';
import type {HostWatch} from './host-watch.js';

export type GroupsOptions = {
	readonly settings: Pick<EntrySettings, 'entryId' | 'dataCentre' | 'region'>;
	readonly hostWatch: () => Pick<HostWatch, 'entries' | 'regionOf'>;
	readonly witness: Witness;
	readonly dutyWitness: DutyWitness;
	readonly recent: RecentGroups;
};

/** The witness groups by the current host list. */
export class Groups {
	#groups: readonly WitnessGroup[] = [];
	readonly #settings: GroupsOptions['settings'];
	readonly #hostWatch: GroupsOptions['hostWatch'];
	readonly #witness: Witness;
	readonly #dutyWitness: DutyWitness;
	readonly #recent: RecentGroups;

	constructor({settings, hostWatch, witness, dutyWitness, recent}: GroupsOptions) {
		this.#settings = settings;
		this.#hostWatch = hostWatch;
		this.#witness = witness;
		this.#dutyWitness = dutyWitness;
		this.#recent = recent;
	}

	readonly all = (): readonly WitnessGroup[] => this.#groups;

	readonly own = (): WitnessGroup | undefined => findOwnGroup(this.#groups, this.#settings);

	/** Host ids of all witnesses, also of those that a takeover is announced to because other entries may have an older list. */
	readonly members = (): ReadonlySet<string> =>
		new Set([...this.#groups, ...this.#recent.known].flatMap(group => group.witnesses.map(({hostId}) => hostId)));

	readonly update = (): void => {
		const {entryId} = this.#settings;
		const wasWitness = this.#includes(entryId);
		const {entries: hosts, regionOf} = this.#hostWatch();
		this.#groups = createWitnessGroups({hosts, regionOf});
		this.#witness.setView(this.own()?.view ?? '', !wasWitness && this.#includes(entryId));
		this.#dutyWitness.setGroup(this.own());
		this.#recent.set(this.own());
	};

	#includes(hostId: string): boolean {
		return this.own()?.witnesses.some(witness => witness.hostId === hostId) ?? false;
	}
}
