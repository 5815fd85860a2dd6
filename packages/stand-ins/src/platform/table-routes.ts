/**
 * HTTP routes of the table with its faults.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {check, validators, type Transaction} from '@hawthorncleat/schema';
import {
	BadBodyError, dropConnection, parseJson, sendJson, type Exchange, type Handler, type HttpRoute,
} from '../http-server.js';
import type {PlatformState} from './state.js';

const failAsDown = (state: PlatformState, {req, res}: Exchange): void => {
	if (state.options.tableDownResponse === 'unavailable') {
		sendJson(res, 503, {error: 'table is down'});
		return;
	}

	dropConnection(req);
};

/** Applies the faults before a request reaches the table. A slow write takes effect even if its client has gone. */
const withFaults = (state: PlatformState, handler: Handler): Handler => async exchange => {
	if (state.faults.tableSlowMs) {
		await delay(state.faults.tableSlowMs);
	}

	if (state.faults.tableDown) {
		failAsDown(state, exchange);
		return;
	}

	await handler(exchange);
};

const readRow = (state: PlatformState): Handler => ({res, query}) => {
	const row = state.table.read(query.get('key') ?? '');
	if (row) {
		sendJson(res, 200, row);
	} else {
		sendJson(res, 404, {error: 'no such row'});
	}
};

const scanRows = (state: PlatformState): Handler => ({res, query}) => {
	const limit = query.get('limit');
	const rows = state.table.scan(query.get('prefix') ?? '', limit === null ? undefined : Number(limit), query.get('after') ?? '');
	sendJson(res, 200, {rows});
};

const takeLostAnswer = (state: PlatformState): boolean => {
	const remaining = state.faults.loseTableAnswers ?? 0;
	if (remaining === 0) {
		return false;
	}

	state.faults = {...state.faults, loseTableAnswers: remaining - 1};
	return true;
};

const parseTransaction = (body: string): Transaction => {
	const checked = check<Transaction>(validators.validateTransaction, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	return checked.value;
};

const transact = (state: PlatformState): Handler => ({req, res, body}) => {
	const transaction = parseTransaction(body);
	const result = state.table.transact(transaction);
	if ('failed' in result) {
		sendJson(res, 409, result);
		return;
	}

	const {writeId, puts, deletes} = transaction;
	const answerLost = takeLostAnswer(state);
	state.history.append({
		kind: 'write', writeId, puts, deletes, versions: result.versions, answerLost,
	});
	if (answerLost) {
		dropConnection(req);
		return;
	}

	sendJson(res, 200, result);
};

/** Routes of the table. */
export const createTableRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/table/row', withFaults(state, readRow(state))],
	['GET', '/table/scan', withFaults(state, scanRows(state))],
	['POST', '/table/transact', withFaults(state, transact(state))],
];
