/**
 * Checks of the platform's answers. An answer of another form or with an unexpected status is a failure whose effect is
 * unknown.
 */
import {check, type Validator} from '@hawthorncleat/schema';
import type {HttpResponse} from './http-client.js';
import {createStoreError, type StoreError} from './store.js';

export const httpOk = 200;
export const httpNotModified = 304;
export const httpNotFound = 404;
export const httpConflict = 409;

/** Error for a status that the interface does not give a meaning to. */
export const createStatusError = (what: string, {status}: HttpResponse): StoreError =>
	createStoreError(`${what} answered with status ${status}`, 'unknown');

/** Throws unless the status is 200. */
export const expectOk = (what: string, answer: HttpResponse): HttpResponse => {
	if (answer.status !== httpOk) {
		throw createStatusError(what, answer);
	}

	return answer;
};

/** Returns a value that the generated validator accepts. */
export const validateAs = <Value>(what: string, validator: unknown, value: unknown): Value => {
	const checked = check<Value>(validator as Validator, value);
	if (!checked.ok) {
		const problems = checked.findings.map(finding => `${finding.place} ${finding.problem}`).join('; ');
		throw createStoreError(`${what} gave an invalid answer: ${problems}`, 'unknown');
	}

	return checked.value;
};

/** Returns the elements of an array field, each accepted by the validator. */
export const validateListAs = <Value>(what: string, validator: unknown, body: unknown, field: string): Value[] => {
	const list = (body as Record<string, unknown> | null | undefined)?.[field];
	if (!Array.isArray(list)) {
		throw createStoreError(`${what} gave an answer without ${field}`, 'unknown');
	}

	return list.map(value => validateAs<Value>(what, validator, value));
};
