/**
 * Looks up routes by model name and by path. The index does not contain client accounts or keys, so it stays small.
 */
import type {ConfigObject, Route} from '@hawthorncleat/schema';
import {allNames, createNameIndex, type NameIndex} from './names.js';
import {objectsOfKind} from './objects.js';
import {isUnambiguousPath, normalizePrefix, prefixesOf} from './paths.js';
import type {ConfigView, ResolvedRoute} from './view.js';

/** Default values of a route. A test compares them with the schema. */
export const routeDefaults = {
	access: 'key', action: false, priority: 5, firstTokenMs: 420, timeoutMs: 30_000,
} as const;

/** The lookups of a view that concern routes. */
export type RouteIndex = Pick<ConfigView, 'findModelRoute' | 'findServiceRoute' | 'listModelRoutes'>;

const resolveRoute = (route: Route, names: NameIndex): ResolvedRoute | undefined => {
	const service = names.resolve('service', route.service);
	if (!service) {
		return undefined;
	}

	const modelVersion = service.modelVersion === undefined
		? undefined
		: names.resolve('model-version', service.modelVersion);
	return {
		route: {...routeDefaults, ...route},
		service,
		modelVersion,
		places: service.places.map(ref => names.resolve('place', ref)).filter(place => place !== undefined),
		// Client accounts have no inherited names, so these references are canonical names.
		accounts: route.accounts && new Set(route.accounts),
	};
};

type RoutesByName = Map<string, ResolvedRoute>;

/** Adds the names that belong to exactly one of these routes and that are not in the map yet. */
const addNames = (routesByName: RoutesByName, pairs: ReadonlyArray<readonly [string, ResolvedRoute]>): void => {
	const groups = new Map<string, Set<ResolvedRoute>>();
	for (const [name, route] of pairs) {
		groups.set(name, (groups.get(name) ?? new Set()).add(route));
	}

	for (const [name, [route, ...others]] of groups) {
		if (route && others.length === 0 && !routesByName.has(name)) {
			routesByName.set(name, route);
		}
	}
};

const namesOf = (object: Parameters<typeof allNames>[0] | undefined): string[] =>
	object ? allNames(object).map(({name}) => name) : [];

const indexModelRoutes = (routes: readonly ResolvedRoute[]): RoutesByName => {
	const routesByName: RoutesByName = new Map();
	addNames(routesByName, routes.map(route => [route.route.name, route] as const));
	addNames(routesByName, routes.flatMap(route => namesOf(route.service).map(name => [name, route] as const)));
	addNames(routesByName, routes.flatMap(route => namesOf(route.modelVersion).map(name => [name, route] as const)));
	return routesByName;
};

const indexPaths = (routes: readonly ResolvedRoute[]): Map<string, ResolvedRoute[]> => {
	const routesByPrefix = new Map<string, ResolvedRoute[]>();
	for (const route of routes) {
		const prefix = normalizePrefix(route.route.path ?? '');
		routesByPrefix.set(prefix, [...routesByPrefix.get(prefix) ?? [], route]);
	}

	return routesByPrefix;
};

const allowsMethod = ({route}: ResolvedRoute, method: string): boolean => {
	const allowed: readonly string[] | undefined = route.methods;
	return allowed?.includes(method) ?? true;
};

const findByPath = (
	routesByPrefix: ReadonlyMap<string, readonly ResolvedRoute[]>,
	method: string,
	path: string,
): ResolvedRoute | undefined => {
	const [pathOnly = ''] = path.split('?', 1);
	if (!isUnambiguousPath(pathOnly)) {
		return undefined;
	}

	const candidates = prefixesOf(pathOnly).flatMap(prefix => routesByPrefix.get(prefix) ?? []);
	return candidates.find(route => allowsMethod(route, method));
};

/** Creates the index of the routes among these objects. Accounts and keys may be omitted. */
export const createRouteIndex = (objects: readonly ConfigObject[]): RouteIndex => {
	const names = createNameIndex(objects);
	const routes = objectsOfKind(objects, 'route')
		.map(route => resolveRoute(route, names))
		.filter(route => route !== undefined);
	const modelRoutes = routes.filter(route => route.modelVersion !== undefined);
	const byModelName = indexModelRoutes(modelRoutes);
	const byPath = indexPaths(routes.filter(route => route.service.modelVersion === undefined));
	return {
		findModelRoute: name => byModelName.get(name),
		findServiceRoute: (method, path) => findByPath(byPath, method, path),
		listModelRoutes: () => modelRoutes,
	};
};
