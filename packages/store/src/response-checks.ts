/**
 * Checks of the platform's HTTP responses. A response with an invalid body or an unexpected status becomes a `StoreError`
 * with the outcome `unknown`, because the request may have taken effect.
 */
import {validate, type Validator} from '@hawthorncleat/schema';
import type {HttpResponse} from './http-client.js';
import {createStoreError, type StoreError} from './store.js';

export const httpOk = 200;
export const httpNotModified = 304;
export const httpNotFound = 404;
export const httpConflict = 409;

/** Creates the error for a status that the platform's interface doesn't define. */
export const createStatusError = (operation: string, {status}: HttpResponse): StoreError =>
	createStoreError(`${operation}: unexpected status ${status}`, 'unknown');

/** Throws unless the status is 200. */
export const expectOk = (operation: string, response: HttpResponse): HttpResponse => {
	if (response.status !== httpOk) {
		throw createStatusError(operation, response);
	}

	return response;
};

/** Returns the value if the generated validator accepts it, and throws otherwise. */
export const validateAs = <Value>(operation: string, validator: unknown, value: unknown): Value => {
	const checked = validate<Value>(validator as Validator, value);
	if (!checked.ok) {
		const problems = checked.findings.map(finding => `${finding.place} ${finding.problem}`).join('; ');
		throw createStoreError(`${operation}: invalid response: ${problems}`, 'unknown');
	}

	return checked.value;
};

/** Returns the elements of the array in `field` if the validator accepts each of them, and throws otherwise. */
export const validateListAs = <Value>(operation: string, validator: unknown, body: unknown, field: string): Value[] => {
	const elements = (body as Record<string, unknown> | null | undefined)?.[field];
	if (!Array.isArray(elements)) {
		throw createStoreError(`${operation}: the response has no array "${field}"`, 'unknown');
	}

	return elements.map(value => validateAs<Value>(operation, validator, value));
};
