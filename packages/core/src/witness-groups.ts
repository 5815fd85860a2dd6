/**
 * Which entries are witnesses, and when their answers together show that the store is out of reach for the whole fleet.
 */
import type {FreshnessAnswer, HostRecord} from '@hawthorncleat/schema';
import {groupBy} from './group-by.js';
import {chooseByRendezvous} from './rendezvous.js';

const smallestOwnGroup = 3;
const witnessesPerDataCentre = 3;
/** Five in a group that spans data centres, so that it outlives a data centre and a restart at the same time. */
const witnessesPerMergedGroup = 5;

/** Entries that answer for one data centre, or for the small data centres of one region. */
export type WitnessGroup = {
	readonly name: string;
	/** Those that the group answers for, sorted. */
	readonly dataCentres: readonly string[];
	readonly witnesses: readonly HostRecord[];
	/** Ids of the witnesses in one string, to be compared between hosts. */
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

/** Divides the live entries into witness groups. */
export const createWitnessGroups = ({hosts, regionOf}: WitnessGroupInput): WitnessGroup[] => {
	const entries = hosts.filter(host => host.kind === 'entry');
	const groups: WitnessGroup[] = [];
	const merged: HostRecord[] = [];
	for (const [dataCentre, members] of groupBy(entries, host => host.dataCentre)) {
		if (members.length >= smallestOwnGroup) {
			groups.push(createGroup(`data-centre/${dataCentre}`, members, witnessesPerDataCentre));
		} else {
			merged.push(...members);
		}
	}

	for (const [region, members] of groupBy(merged, host => regionOf(host.dataCentre))) {
		groups.push(createGroup(`region/${region}`, members, witnessesPerMergedGroup));
	}

	return groups;
};

/** The group that an entry announces its publications to. */
export const findOwnGroup = (
	groups: readonly WitnessGroup[],
	entry: {readonly dataCentre: string; readonly region: string},
): WitnessGroup | undefined =>
	groups.find(group => group.name === `data-centre/${entry.dataCentre}`)
	?? groups.find(group => group.name === `region/${entry.region}`);

/** Whether a host is one of the witnesses. */
export const hasWitness = ({witnesses}: WitnessGroup, id: string): boolean => witnesses.some(({hostId}) => hostId === id);

/** Host ids of the witnesses of all groups. */
export const witnessIds = (groups: readonly WitnessGroup[]): Set<string> =>
	new Set(groups.flatMap(({witnesses}) => witnesses.map(({hostId}) => hostId)));

/** True when the count is more than half of the group. */
export const isMajority = (count: number, group: WitnessGroup): boolean => count * 2 > group.witnesses.length;

/**
 * Rule `attestation` of models/freshness.pml: a majority of every group must answer "unreachable". Returns the highest
 * version that they hold, or undefined when there is no attestation.
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
