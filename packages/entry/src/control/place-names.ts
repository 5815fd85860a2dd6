/**
 * Canonical names for what the platform's host list calls by names of the three inherited schemes.
 */
import type {ConfigView} from '@hawthorncleat/core';
import type {Change, HostRecord, Snapshot} from '@hawthorncleat/schema';

/** Canonical names of places and services by each of their names, and the region of each place. */
export type PlaceNames = {
	readonly places: ReadonlyMap<string, string>;
	readonly services: ReadonlyMap<string, string>;
	readonly regions: ReadonlyMap<string, string>;
};

const collectNames = (snapshot: Snapshot, kind: 'place' | 'service'): Map<string, string> => {
	const canonical = new Map<string, string>();
	for (const object of snapshot.objects) {
		if (object.kind === kind) {
			const names = [object.name, ...Object.values(object.names ?? {}) as string[]];
			for (const name of names) {
				canonical.set(name, object.name);
			}
		}
	}

	return canonical;
};

const collectRegions = (snapshot: Snapshot): Map<string, string> => {
	const regions = new Map<string, string>();
	for (const object of snapshot.objects) {
		if (object.kind === 'place') {
			regions.set(object.name, object.region);
		}
	}

	return regions;
};

/** Reads the names of one version of the configuration. */
export const readPlaceNames = (view: ConfigView): PlaceNames => ({
	places: collectNames(view.snapshot, 'place'),
	services: collectNames(view.snapshot, 'service'),
	regions: collectRegions(view.snapshot),
});

/** Replaces the names in a host record by canonical ones; unknown names stay. */
export const normaliseHost = (host: HostRecord, names: PlaceNames): HostRecord => ({
	...host,
	dataCentre: names.places.get(host.dataCentre) ?? host.dataCentre,
	...(host.serves !== undefined && {serves: names.services.get(host.serves) ?? host.serves}),
});

/** Whether a change can alter the names of one version to the next. */
export const touchesNames = (change: Change): boolean =>
	[...change.put ?? [], ...change.delete ?? []].some(({kind}) => kind === 'place' || kind === 'service');
