/**
 * Rows of the endpoint orders of one data centre: an intent for each order, and a state row with the open ones, so that a
 * new holder reads only these.
 */
import {
	validate, validators, type EndpointOrder, type TableRow, type Validator,
} from '@hawthorncleat/schema';
import type {Table} from '@hawthorncleat/store';

/** An order to the platform, written before it is sent. */
export type OrderIntent = {
	readonly order: EndpointOrder;
	readonly epoch: number;
	/** `confirmed`: the platform lists it. `done`: the host list shows its effect, or it was given up. */
	readonly state: 'confirmed' | 'done' | 'written';
	/** Live endpoints that are not the effect of an add. */
	readonly known: readonly string[];
};

/** Open orders of a data centre. Each write of an intent changes this row, which makes the writes one sequence. */
export type OrderState = {readonly nextNumber: number; readonly open: readonly string[]; readonly writeId: string};

/** What was read together. */
export type OpenOrders = {readonly version: number | null; readonly state: OrderState; readonly intents: readonly OrderIntent[]};

export const orderStateKey = (dataCentre: string): string => `endpoint-order-state/${dataCentre}`;

export const intentKey = (dataCentre: string, orderId: string): string => `endpoint-order/${dataCentre}/${orderId}`;

const fail = (key: string): never => {
	throw new TypeError(`row ${key} is missing or has an unexpected form`);
};

const readState = (row: TableRow): OrderState => {
	const {nextNumber, open} = (row.value ?? {}) as Partial<OrderState>;
	return Number.isSafeInteger(nextNumber) && Array.isArray(open) ? row.value as OrderState : fail(row.key);
};

const readIntent = (key: string, row: TableRow | undefined): OrderIntent => {
	const {order, known} = (row?.value ?? {}) as Partial<OrderIntent>;
	const isValid = validate<EndpointOrder>(validators.validateEndpointOrder as Validator, order).ok && Array.isArray(known);
	return row && isValid ? row.value as OrderIntent : fail(key);
};

/** Reads the open orders of a data centre. */
export const readOpenOrders = async (table: Table, dataCentre: string): Promise<OpenOrders> => {
	const row = await table.read(orderStateKey(dataCentre));
	if (!row) {
		return {version: null, state: {nextNumber: 1, open: [], writeId: ''}, intents: []};
	}

	const state = readState(row);
	const intents = await Promise.all(state.open.map(async orderId => {
		const key = intentKey(dataCentre, orderId);
		return readIntent(key, await table.read(key));
	}));
	return {version: row.version, state, intents};
};
