/**
 * Client of the platform's transactional table.
 */
import {
	validators, type TableRow, type TransactionConflict, type TransactionResult,
} from '@hawthorncleat/schema';
import {
	createStatusError, expectOk, httpConflict, httpNotFound, httpOk, validateAs, validateListAs,
} from './response-checks.js';
import type {HttpResponse, HttpClient} from './http-client.js';
import type {Table, TransactResult} from './store.js';

const readTransactAnswer = (answer: HttpResponse): TransactResult => {
	const what = 'table transaction';
	if (answer.status === httpOk) {
		const {versions} = validateAs<TransactionResult>(what, validators.validateTransactionResult, answer.body);
		return {ok: true, versions};
	}

	if (answer.status === httpConflict) {
		const {failed} = validateAs<TransactionConflict>(what, validators.validateTransactionConflict, answer.body);
		return {ok: false, failed};
	}

	throw createStatusError(what, answer);
};

/** Creates the client of the table. */
export const createTableClient = (http: HttpClient): Table => ({
	async read(key) {
		const answer = await http.request({method: 'GET', path: '/table/row', query: {key}});
		if (answer.status === httpNotFound) {
			return undefined;
		}

		return validateAs<TableRow>('table read', validators.validateTableRow, expectOk('table read', answer).body);
	},
	async scan(prefix, {limit, after} = {}) {
		const answer = await http.request({method: 'GET', path: '/table/scan', query: {prefix, limit, after}});
		return validateListAs('table scan', validators.validateTableRow, expectOk('table scan', answer).body, 'rows');
	},
	async transact(transaction) {
		return readTransactAnswer(await http.request({method: 'POST', path: '/table/transact', body: transaction}));
	},
});
