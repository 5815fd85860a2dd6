/**
 * Looks up routes by model name and by path. Client accounts and keys play no part in it, so it stays small.
 */
import type {ConfigObject, Route} from '@hawthorncleat/schema';
import {allNames, createNameIndex, type NameIndex} from './names.js';
import {objectsOfKind} from './objects.js';
import {isUnambiguousPath, normalizePrefix, prefixesOf} from './paths.js';
import type {ConfigView, ResolvedRoute} from './view.js';

/** The schema's defaults of a route; a test compares them with the schema. */
export const routeDefaults = {
	access: 'key', action: false, priority: 5, firstTokenMs: 420, timeoutMs: 30_000,
} as const;

/** The part of a view that concerns routes. */
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
		// Client accounts have no inherited names, so the references are the canonical names.
		accounts: route.accounts && new Set(route.accounts),
	};
};

type ModelNames = Map<string, ResolvedRoute>;

/** Adds the names that lead to exactly one route and that no earlier group of names holds. */
const addNames = (table: ModelNames, pairs: ReadonlyArray<readonly [string, ResolvedRoute]>): void => {
	const groups = new Map<string, Set<ResolvedRoute>>();
	for (const [name, route] of pairs) {
		groups.set(name, (groups.get(name) ?? new Set()).add(route));
	}

	for (const [name, [route, ...others]] of groups) {
		if (route && others.length === 0 && !table.has(name)) {
			table.set(name, route);
		}
	}
};

const namesOf = (object: Parameters<typeof allNames>[0] | undefined): string[] =>
	object ? allNames(object).map(({name}) => name) : [];

const indexModelRoutes = (routes: readonly ResolvedRoute[]): ModelNames => {
	const table: ModelNames = new Map();
	addNames(table, routes.map(route => [route.route.name, route] as const));
	addNames(table, routes.flatMap(route => namesOf(route.service).map(name => [name, route] as const)));
	addNames(table, routes.flatMap(route => namesOf(route.modelVersion).map(name => [name, route] as const)));
	return table;
};

const indexPaths = (routes: readonly ResolvedRoute[]): Map<string, ResolvedRoute[]> => {
	const table = new Map<string, ResolvedRoute[]>();
	for (const route of routes) {
		const prefix = normalizePrefix(route.route.path ?? '');
		table.set(prefix, [...table.get(prefix) ?? [], route]);
	}

	return table;
};

const allowsMethod = ({route}: ResolvedRoute, method: string): boolean => {
	const allowed: readonly string[] | undefined = route.methods;
	return allowed?.includes(method) ?? true;
};

const findByPath = (
	table: ReadonlyMap<string, readonly ResolvedRoute[]>,
	method: string,
	path: string,
): ResolvedRoute | undefined => {
	const [pathOnly = ''] = path.split('?', 1);
	if (!isUnambiguousPath(pathOnly)) {
		return undefined;
	}

	const candidates = prefixesOf(pathOnly).flatMap(prefix => table.get(prefix) ?? []);
	return candidates.find(route => allowsMethod(route, method));
};

/** Indexes the routes among the objects, which need not contain accounts and keys. */
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
