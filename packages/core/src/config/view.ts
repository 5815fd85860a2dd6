/**
 * The configuration in force, as the daemons look things up in it: every reference resolved, every name of the three
 * naming schemes leading to its one object.
 */
import type {
	ClientAccount, Key, ModelVersion, Place, Route, Service, Snapshot,
} from '@hawthorncleat/schema';
import type {ConfigVersion, KeyHash} from '../ids.js';

/** A key together with the client account that it belongs to. */
export type ResolvedKey = {readonly key: Key; readonly account: ClientAccount};

/** A route with everything that it refers to; defaults of the schema are filled in. */
export type ResolvedRoute = {
	readonly route: Required<Pick<Route, 'access' | 'action' | 'priority' | 'firstTokenMs' | 'timeoutMs'>> & Route;
	readonly service: Service;
	/** Absent for a plain service. */
	readonly modelVersion?: ModelVersion;
	readonly places: readonly Place[];
	/** Canonical names of the accounts that may use the route; absent means all. */
	readonly accounts?: ReadonlySet<string>;
};

/** One version of the configuration, immutable. */
export type ConfigView = {
	readonly version: ConfigVersion;
	readonly snapshot: Snapshot;
	findKey(hash: KeyHash): ResolvedKey | undefined;
	/** Looks up a model route by the name of the route, its service or its model version, in any scheme. */
	findModelRoute(name: string): ResolvedRoute | undefined;
	/** Looks up the plain-service route with the longest matching path prefix that allows the method. */
	findServiceRoute(method: string, path: string): ResolvedRoute | undefined;
	/** Names of the model routes, for the model list. */
	listModelRoutes(): readonly ResolvedRoute[];
};
