/**
 * Rules that involve several objects of a configuration, or that the schema of an object cannot express.
 */
import type {ConfigObject, Route} from '@hawthorncleat/schema';
import {describeObject, type ReportFinding} from './findings.js';
import {createNameIndex, type FindObject, type NameIndex} from './names.js';
import {objectsOfKind} from './objects.js';
import {isUnambiguousPath, normalizePrefix} from './paths.js';
import {referencesOf} from './references.js';

const safeMethods = new Set(['GET', 'HEAD']);

const checkReferences = (
	object: ConfigObject,
	names: NameIndex,
	ignoredNames: ReadonlySet<string>,
	report: ReportFinding,
): void => {
	for (const {field, value, kind} of referencesOf(object)) {
		if (ignoredNames.has(value) || names.resolve(kind, value)) {
			continue;
		}

		const [other] = names.resolveAnyKind(value);
		const foundText = other ? `, the name belongs to ${describeObject(other)}` : '';
		report(object, field, value, `no ${kind} has this name${foundText}`);
	}
};

const checkRouteKind = (route: Route, names: NameIndex, report: ReportFinding): void => {
	const service = names.resolve('service', route.service);
	if (!service) {
		return;
	}

	if (service.modelVersion === undefined) {
		if (route.path === undefined) {
			report(route, 'path', undefined, `required because ${describeObject(service)} is a plain service`);
		}

		return;
	}

	if (route.path !== undefined) {
		report(route, 'path', route.path, `not allowed because ${describeObject(service)} is a model service`);
	}

	if (route.action) {
		report(route, 'action', true, `not allowed because ${describeObject(service)} is a model service`);
	}
};

const allowsUnsafeMethod = ({methods}: Route): boolean => !methods || methods.some(method => !safeMethods.has(method));

const checkRouteFields = (route: Route, report: ReportFinding): void => {
	if (route.action && route.methods?.every(method => safeMethods.has(method))) {
		report(route, 'methods', route.methods, 'an action route must allow a method other than GET and HEAD');
	}

	if (route.access === 'open' && route.accounts) {
		report(route, 'accounts', route.accounts, 'not allowed on an open route, which anyone may use');
	}

	if (route.access === 'open' && route.action) {
		// Callers without an account would share one name space of idempotency keys.
		report(route, 'action', true, 'not allowed on an open route');
	}

	if (route.path !== undefined && route.action === undefined && allowsUnsafeMethod(route)) {
		// With a default of false, an order could run twice because the field was forgotten.
		report(route, 'action', undefined, 'must be true or false on a route that allows methods other than GET and HEAD');
	}

	if (route.path !== undefined && !isUnambiguousPath(route.path)) {
		report(route, 'path', route.path, 'must not contain the segments . and ..');
	}
};

const methodsOverlap = (a: Route, b: Route): boolean =>
	!a.methods || !b.methods || a.methods.some(method => b.methods?.includes(method));

const checkPaths = (routes: readonly Route[], report: ReportFinding): void => {
	const byPrefix = new Map<string, Route[]>();
	for (const route of routes) {
		if (route.path === undefined) {
			continue;
		}

		const earlier = byPrefix.get(normalizePrefix(route.path)) ?? [];
		for (const other of earlier.filter(other => methodsOverlap(route, other))) {
			const problem = `${describeObject(other)} has the same path and a method in common`;
			report(route, 'path', route.path, problem);
			report(other, 'path', other.path, `${describeObject(route)} has the same path and a method in common`);
		}

		byPrefix.set(normalizePrefix(route.path), [...earlier, route]);
	}
};

const checkHashes = (objects: readonly ConfigObject[], report: ReportFinding): void => {
	const holders = new Map<string, ConfigObject>();
	for (const key of objectsOfKind(objects, 'key')) {
		const other = holders.get(key.hash);
		if (other) {
			report(key, 'hash', key.hash, `also the hash of ${describeObject(other)}`);
			report(other, 'hash', key.hash, `also the hash of ${describeObject(key)}`);
		}

		holders.set(key.hash, key);
	}
};

const checkNames = (names: NameIndex, report: ReportFinding): void => {
	for (const {object, other, field, name} of names.clashes) {
		report(object, field, name, `also a name of ${describeObject(other)}`);
		report(other, '', name, `one of its names is also ${field} of ${describeObject(object)}`);
	}
};

/** The model field of a request may name a route, a service or a model version, so equal names must lead to the same model. */
const checkModelNames = (routes: readonly Route[], names: NameIndex, report: ReportFinding): void => {
	for (const route of routes) {
		const routeService = names.resolve('service', route.service);
		if (routeService?.modelVersion === undefined) {
			continue;
		}

		const namedService = names.resolve('service', route.name);
		if (namedService?.modelVersion !== undefined && namedService.name !== routeService.name) {
			report(route, 'name', route.name, `also the name of ${describeObject(namedService)}, which the route does not lead to`);
		}

		const namedModelVersion = names.resolve('model-version', route.name);
		if (namedModelVersion && namedModelVersion.name !== names.resolve('model-version', routeService.modelVersion)?.name) {
			report(route, 'name', route.name, `also the name of ${describeObject(namedModelVersion)}, which the route does not lead to`);
		}
	}
};

/** The input of a check of all rules. */
export type RuleInput = {
	/** The objects to check, sorted. They include all objects except accounts and keys, of which some may be missing. */
	readonly objects: readonly ConfigObject[];
	/** Finds accounts and keys that are not among `objects`. */
	readonly findOther: FindObject;
	/** Dangling references to these names are not reported. */
	readonly ignoredNames: ReadonlySet<string>;
};

/** Checks all rules and reports every violation. */
export const checkRules = ({objects, findOther, ignoredNames}: RuleInput, report: ReportFinding): void => {
	const names = createNameIndex(objects, findOther);
	const routes = objectsOfKind(objects, 'route');
	for (const object of objects) {
		checkReferences(object, names, ignoredNames, report);
	}

	for (const route of routes) {
		checkRouteKind(route, names, report);
		checkRouteFields(route, report);
	}

	checkPaths(routes, report);
	checkHashes(objects, report);
	checkNames(names, report);
	checkModelNames(routes, names, report);
};
