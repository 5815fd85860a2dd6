/**
 * Selects the entries that are witnesses, in groups by data centre or region, and combines their answers into an attestation
 * that the whole fleet cannot reach the store.
 */
import type {FreshnessAnswer, HostRecord} from '@hawthorncleat/schema';
import {groupBy} from './group-by.js';
import {chooseByRendezvous} from './rendezvous.js';

const minEntriesForOwnGroup = 3;
const witnessesPerDataCentre = 3;
/** Five in a group that spans data centres, so that it keeps a majority when a data centre fails while one witness restarts. */
const witnessesPerMergedGroup = 5;

/** The witnesses of one data centre, or of the small data centres of one region. */
export type WitnessGroup = {
	readonly name: string;
	/** The data centres that the group covers, sorted. */
	readonly dataCentres: readonly string[];
	readonly witnesses: readonly HostRecord[];
	/** Ids of the witnesses in one string, which hosts compare to detect different host lists. */
	readonly view: string;
};

export type WitnessGroupInput = {
	readonly hosts: readonly HostRecord[];
	readonly regionOf: (dataCentre: string) => string;
};

const createGroup = (name: string, entries: readonly HostRecord[], size: number): WitnessGroup => {
	const witnesses = chooseByRendezvous(name, entries, size, host => host.hostId);
	const dataCentres = [...new Set(entries.map(({dataCentre}) => dataCentre))].toSorted((a, b) => a < b ? -1 : 1);
	return {
		name, dataCentres, witnesses, view: witnesses.map(witness => witness.hostId).join(','),
	};
};

/** Divides the entries of the host list into witness groups. */
export const createWitnessGroups = ({hosts, regionOf}: WitnessGroupInput): WitnessGroup[] => {
	const entries = hosts.filter(host => host.kind === 'entry');
	const groups: WitnessGroup[] = [];
	const entriesOfSmallDataCentres: HostRecord[] = [];
	for (const [dataCentre, members] of groupBy(entries, host => host.dataCentre)) {
		if (members.length >= minEntriesForOwnGroup) {
			groups.push(createGroup(`data-centre/${dataCentre}`, members, witnessesPerDataCentre));
		} else {
			entriesOfSmallDataCentres.push(...members);
		}
	}

	for (const [region, members] of groupBy(entriesOfSmallDataCentres, host => regionOf(host.dataCentre))) {
		groups.push(createGroup(`region/${region}`, members, witnessesPerMergedGroup));
	}

	return groups;
};

/** Finds the group of an entry's data centre or, for a small data centre, of its region. */
export const findOwnGroup = (
	groups: readonly WitnessGroup[],
	entry: {readonly dataCentre: string; readonly region: string},
): WitnessGroup | undefined =>
	groups.find(group => group.name === `data-centre/${entry.dataCentre}`)
	?? groups.find(group => group.name === `region/${entry.region}`);

export const hasWitness = ({witnesses}: WitnessGroup, id: string): boolean => witnesses.some(({hostId}) => hostId === id);

/** Host ids of the witnesses of all groups. */
export const witnessIds = (groups: readonly WitnessGroup[]): Set<string> =>
	new Set(groups.flatMap(({witnesses}) => witnesses.map(({hostId}) => hostId)));

export const isMajority = (count: number, group: WitnessGroup): boolean => count * 2 > group.witnesses.length;

/**
 * Rule `attestation` of models/freshness.pml: a majority of every group must answer "unreachable". Returns the highest
 * configuration version among these answers, or undefined if there is no attestation.
 */
export const combineFreshnessAnswers = (
	groups: readonly WitnessGroup[],
	answers: ReadonlyMap<string, FreshnessAnswer>,
): number | undefined => {
	if (groups.length === 0) {
		return undefined;
	}

	let highest = 0;
	for (const group of groups) {
		const attesting = group.witnesses
			.map(witness => answers.get(witness.hostId))
			.filter(answer => answer?.kind === 'unreachable');
		if (!isMajority(attesting.length, group)) {
			return undefined;
		}

		highest = Math.max(highest, ...attesting.map(answer => answer?.version ?? 0));
	}

	return highest;
};
