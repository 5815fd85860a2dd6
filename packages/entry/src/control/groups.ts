/**
 * The witness groups of the fleet by the current host list, for the parts of an entry that depend on them.
 */
import {
	createWitnessGroups, findOwnGroup, WitnessGroupTracker, witnessIds, type DutyWitness, type RecentWitnessGroups, type Witness, type WitnessGroup,
} from '@hawthorncleat/core';
import type {EntrySettings} from '@hawthorncleat/schema';
import type {HostWatch} from './host-watch.js';

export type GroupsOptions = {
	readonly settings: Pick<EntrySettings, 'entryId' | 'dataCentre' | 'region'>;
	readonly hostWatch: () => Pick<HostWatch, 'entries' | 'regionOf'>;
	readonly witness: Witness;
	readonly dutyWitness: DutyWitness;
	readonly recent: RecentWitnessGroups;
};

/** The witness groups by the current host list. */
export class Groups {
	#groups: readonly WitnessGroup[] = [];
	readonly #settings: GroupsOptions['settings'];
	readonly #hostWatch: GroupsOptions['hostWatch'];
	readonly #witness: Witness;
	readonly #dutyWitness: DutyWitness;
	readonly #recent: RecentWitnessGroups;
	readonly #change: WitnessGroupTracker;

	constructor({settings, hostWatch, witness, dutyWitness, recent}: GroupsOptions) {
		this.#settings = settings;
		this.#hostWatch = hostWatch;
		this.#witness = witness;
		this.#dutyWitness = dutyWitness;
		this.#recent = recent;
		this.#change = new WitnessGroupTracker(settings.entryId);
	}

	readonly all = (): readonly WitnessGroup[] => this.#groups;

	readonly own = (): WitnessGroup | undefined => findOwnGroup(this.#groups, this.#settings);

	/** Host ids of all witnesses, also of those that a takeover is announced to because other entries may have an older list. */
	readonly members = (): ReadonlySet<string> =>
		witnessIds([...this.#groups, ...this.#recent.trackedGroups]);

	readonly update = (): void => {
		const {entries: hosts, regionOf} = this.#hostWatch();
		this.#groups = createWitnessGroups({hosts, regionOf});
		const own = this.own();
		this.#witness.setView(own?.view ?? '', this.#change.update(this.#groups, own));
		this.#dutyWitness.setGroup(own);
		this.#recent.set(own);
	};
}
