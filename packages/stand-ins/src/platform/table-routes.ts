/**
 * HTTP routes of the platform's table. They apply the table's faults: outage, delay and lost answers.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {validate, validators, type Transaction} from '@hawthorncleat/schema';
import {
	BadBodyError, dropConnection, parseJson, sendJson, type Exchange, type Handler, type HttpRoute,
} from '../http-server.js';
import type {PlatformState} from './state.js';

const respondWithOutage = (state: PlatformState, {req, res}: Exchange): void => {
	if (state.options.tableDownResponse === 'unavailable') {
		sendJson(res, 503, {error: 'table is down'});
		return;
	}

	dropConnection(req);
};

/** Delays or fails a request to the table. A delayed write takes effect even if its client has disconnected. */
const withTableFaults = (state: PlatformState, handler: Handler): Handler => async exchange => {
	if (state.faults.tableSlowMs) {
		await delay(state.faults.tableSlowMs);
	}

	if (state.faults.tableDown) {
		respondWithOutage(state, exchange);
		return;
	}

	await handler(exchange);
};

const createReadHandler = (state: PlatformState): Handler => ({res, query}) => {
	const row = state.table.read(query.get('key') ?? '');
	if (row) {
		sendJson(res, 200, row);
	} else {
		sendJson(res, 404, {error: 'no such row'});
	}
};

const createScanHandler = (state: PlatformState): Handler => ({res, query}) => {
	const limit = query.get('limit');
	const rows = state.table.scan(query.get('prefix') ?? '', limit === null ? undefined : Number(limit), query.get('after') ?? '');
	sendJson(res, 200, {rows});
};

/** Returns whether the answer of this write is to be lost, and counts it against the fault's number of lost answers. */
const consumeLostAnswer = (state: PlatformState): boolean => {
	const remaining = state.faults.loseTableAnswers ?? 0;
	if (remaining === 0) {
		return false;
	}

	state.faults = {...state.faults, loseTableAnswers: remaining - 1};
	return true;
};

const parseTransaction = (body: string): Transaction => {
	const checked = validate<Transaction>(validators.validateTransaction, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	return checked.value;
};

const createTransactHandler = (state: PlatformState): Handler => ({req, res, body}) => {
	const transaction = parseTransaction(body);
	const result = state.table.transact(transaction);
	if ('failed' in result) {
		sendJson(res, 409, result);
		return;
	}

	const {writeId, puts, deletes} = transaction;
	const isAnswerLost = consumeLostAnswer(state);
	state.history.append({
		kind: 'write', writeId, puts, deletes, versions: result.versions, answerLost: isAnswerLost,
	});
	if (isAnswerLost) {
		dropConnection(req);
		return;
	}

	sendJson(res, 200, result);
};

export const createTableRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/table/row', withTableFaults(state, createReadHandler(state))],
	['GET', '/table/scan', withTableFaults(state, createScanHandler(state))],
	['POST', '/table/transact', withTableFaults(state, createTransactHandler(state))],
];
