/**
 * The active configuration in the form in which daemons look up keys and routes. All references are resolved, and an object
 * can be found by its canonical name and by its names in the three inherited naming schemes.
 */
import type {
	ClientAccount, Key, ModelVersion, Place, Route, Service, Snapshot,
} from '@hawthorncleat/schema';
import type {ConfigVersion, KeyHash} from '../ids.js';

/** A key and the client account that it belongs to. */
export type ResolvedKey = {readonly key: Key; readonly account: ClientAccount};

/** A route and the objects that it refers to. Defaults of the schema are filled in. */
export type ResolvedRoute = {
	readonly route: Required<Pick<Route, 'access' | 'action' | 'priority' | 'firstTokenMs' | 'timeoutMs'>> & Route;
	readonly service: Service;
	/** Absent for a plain service. */
	readonly modelVersion?: ModelVersion;
	readonly places: readonly Place[];
	/** Canonical names of the accounts that may use the route; absent if all may. */
	readonly accounts?: ReadonlySet<string>;
};

/** Immutable view of one version of the configuration. */
export type ConfigView = {
	readonly version: ConfigVersion;
	readonly snapshot: Snapshot;
	findKey(hash: KeyHash): ResolvedKey | undefined;
	/** Finds a model route by the name of the route, its service or its model version, in any naming scheme. */
	findModelRoute(name: string): ResolvedRoute | undefined;
	/** Finds the plain-service route with the longest matching path prefix among those that allow the method. */
	findServiceRoute(method: string, path: string): ResolvedRoute | undefined;
	/** The model routes, from which the list of models is created. */
	listModelRoutes(): readonly ResolvedRoute[];
};
