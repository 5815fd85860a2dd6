/**
 * Rules about the configuration: an accepted version is in force everywhere in time and never reverts (I14).
 */
import type {
	ConnectedSpan, PublicationObservation, VersionSample, Violation,
} from './observations.js';

/** Invariant I14: time from acceptance until the version is in force everywhere. */
export const inForceLimitMs = 18_000;

/** The version at an entry never falls, not even across a restart. */
export const findVersionFalls = (samples: readonly VersionSample[]): Violation[] => {
	const highest = new Map<string, number>();
	const violations: Violation[] = [];
	for (const {entry, atMs, version} of samples.toSorted((a, b) => a.atMs - b.atMs)) {
		const before = highest.get(entry) ?? 0;
		if (version < before) {
			violations.push(`${entry}: version fell from ${before} to ${version} at ${Math.round(atMs)} ms`);
		}

		highest.set(entry, Math.max(before, version));
	}

	return violations;
};

/**
 * Every sample that an entry gives later than the limit after a publication shows that version or a higher one. An entry
 * that was cut off from the store and all peers gets the time from the end of that.
 */
export const findLateVersions = (
	samples: readonly VersionSample[],
	publications: readonly PublicationObservation[],
	connected: readonly ConnectedSpan[],
): Violation[] => publications.flatMap(publication => samples.flatMap(({entry, atMs, version}) => {
	const span = connected.find(span => span.entry === entry && atMs >= span.fromMs && atMs <= span.untilMs);
	const heardMs = Math.max(publication.acceptedMs, span?.fromMs ?? Number.POSITIVE_INFINITY);
	const isLate = atMs > heardMs + inForceLimitMs && version < publication.version;
	return isLate
		? [`${entry}: had version ${version} ${Math.round(atMs - heardMs)} ms after ${publication.version} was accepted`]
		: [];
}));

/** Entries of which no sample was taken late enough to show that the last publication is in force. */
export const findUnprovenEntries = (
	entries: readonly string[],
	samples: readonly VersionSample[],
	publications: readonly PublicationObservation[],
): Violation[] => {
	const highest = Math.max(0, ...publications.map(({version}) => version));
	return entries
		.filter(entry => !samples.some(sample => sample.entry === entry && sample.version >= highest))
		.map(entry => `${entry}: no sample shows version ${highest} or a later one`);
};

/** The effect of one of two racing operators: it won, was rebased, or received the names that overlap. */
export type OperatorAnswer = {
	readonly operator: string;
	readonly status: number;
	readonly version?: number;
	/** Names of the objects in the change. */
	readonly names: readonly string[];
	readonly conflicts: readonly string[];
};

/** Each operator's change is published under a version of its own, or refused with names that it really contains. */
export const findOperatorFaults = (answers: readonly OperatorAnswer[]): Violation[] => {
	const seen = new Set<number>();
	return answers.flatMap(({operator, status, version, names, conflicts}) => {
		if (status === 200 && version !== undefined) {
			const isRepeated = seen.has(version);
			seen.add(version);
			return isRepeated ? [`${operator}: version ${version} was given to two changes`] : [];
		}

		const named = conflicts.filter(name => names.includes(name));
		return status === 409 && named.length > 0 ? [] : [`${operator}: answered ${status} without the overlapping names`];
	});
};
