/**
 * HTTP client of the platform's transactional table.
 */
import {
	validators, type TableRow, type TransactionConflict, type TransactionResult,
} from '@hawthorncleat/schema';
import {
	createStatusError, expectOk, httpConflict, httpNotFound, httpOk, validateAs, validateListAs,
} from './response-checks.js';
import type {HttpResponse, HttpClient} from './http-client.js';
import type {Table, TransactResult} from './store.js';

const parseTransactResponse = (response: HttpResponse): TransactResult => {
	const operation = 'table transaction';
	if (response.status === httpOk) {
		const {versions} = validateAs<TransactionResult>(operation, validators.validateTransactionResult, response.body);
		return {ok: true, versions};
	}

	if (response.status === httpConflict) {
		const {failed} = validateAs<TransactionConflict>(operation, validators.validateTransactionConflict, response.body);
		return {ok: false, failed};
	}

	throw createStatusError(operation, response);
};

export const createTableClient = (http: HttpClient): Table => ({
	async read(key) {
		const response = await http.request({method: 'GET', path: '/table/row', query: {key}});
		if (response.status === httpNotFound) {
			return undefined;
		}

		return validateAs<TableRow>('table read', validators.validateTableRow, expectOk('table read', response).body);
	},
	async scan(prefix, {limit, after} = {}) {
		const response = await http.request({method: 'GET', path: '/table/scan', query: {prefix, limit, after}});
		return validateListAs('table scan', validators.validateTableRow, expectOk('table scan', response).body, 'rows');
	},
	async transact(transaction) {
		return parseTransactResponse(await http.request({method: 'POST', path: '/table/transact', body: transaction}));
	},
});
