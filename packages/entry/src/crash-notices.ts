/**
 * Takes crash notices of agents and other entries, and passes new marks on.
 */
import {brandAs, type SuspectRequests, type Fingerprint} from '@hawthorncleat/core';

/** Limits the work that one notice can cause. */
const maxFingerprints = 1000;

const repeat = (fingerprint: string, count: number): string[] => Array.from({length: count}, () => fingerprint);

/** Marks the fingerprints for a crash at `source` and tells the other entries about those that are new. */
export const markCrash = (
	suspects: SuspectRequests,
	fingerprints: readonly string[],
	source: string,
	tellEntries: (fingerprints: readonly string[]) => void,
): void => {
	const news = [...new Set(fingerprints)].slice(0, maxFingerprints)
		.map(fingerprint => brandAs<Fingerprint>(fingerprint))
		.filter(fingerprint => suspects.recordCrash(fingerprint, source))
		.flatMap(fingerprint => repeat(fingerprint, suspects.countCrashes(fingerprint)));
	if (news.length > 0) {
		tellEntries(news);
	}
};

/** Takes over what another entry knows; it is not passed on again, because that entry tells all others itself. */
export const learnSuspects = (suspects: SuspectRequests, fingerprints: readonly string[]): void => {
	const counts = new Map<string, number>();
	for (const fingerprint of fingerprints.slice(0, maxFingerprints)) {
		counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
	}

	for (const [fingerprint, count] of counts) {
		suspects.adoptCount(brandAs<Fingerprint>(fingerprint), count);
	}
};
