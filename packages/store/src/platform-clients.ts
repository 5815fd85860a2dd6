/**
 * HTTP clients of the platform's object store, host list, endpoint orders and usage reports.
 */
import {
	validators, type EndpointOrder, type HostList, type UsageReport,
} from '@hawthorncleat/schema';
import {
	expectOk, httpNotFound, httpNotModified, validateAs, validateListAs,
} from './response-checks.js';
import type {HttpClient} from './http-client.js';
import {createStoreError, type ObjectStore} from './store.js';

const objectPath = (key: string): string => `/objects/${key.split('/').map(part => encodeURIComponent(part)).join('/')}`;

const readKeys = (body: unknown): string[] => {
	const keys = (body as {keys?: unknown} | null | undefined)?.keys;
	if (!Array.isArray(keys) || !keys.every(key => typeof key === 'string')) {
		throw createStoreError('object list: the response has no valid array "keys"', 'unknown');
	}

	return keys;
};

export const createObjectStoreClient = (http: HttpClient): ObjectStore => ({
	async read(key) {
		const response = await http.request({method: 'GET', path: objectPath(key)});
		return response.status === httpNotFound ? undefined : expectOk('object read', response).body;
	},
	async write(key, value) {
		expectOk('object write', await http.request({method: 'PUT', path: objectPath(key), body: value}));
	},
	async list(prefix) {
		return readKeys(expectOk('object list', await http.request({method: 'GET', path: '/objects', query: {prefix}})).body);
	},
});

/** Reads the platform's list of hosts, which lags behind changes of hosts. */
export type HostListClient = {
	/** Returns undefined if the list still has the version `sinceVersion`. */
	read(dataCentre: string, sinceVersion?: number): Promise<HostList | undefined>;
};

export const createHostListClient = (http: HttpClient): HostListClient => ({
	async read(dataCentre, sinceVersion) {
		const response = await http.request({method: 'GET', path: '/hosts', query: {dataCentre, sinceVersion}});
		if (response.status === httpNotModified) {
			return undefined;
		}

		return validateAs<HostList>('host list', validators.validateHostList, expectOk('host list', response).body);
	},
});

export type SendOptions = {
	/** Checks the sender's authority right before the request is written to its connection; false drops the request. */
	readonly maySend?: () => boolean;
};

/** Orders endpoints from the platform. An order that is sent again has the same id and content. */
export type EndpointOrdersClient = {
	send(order: EndpointOrder, options?: SendOptions): Promise<void>;
	list(dataCentre: string): Promise<EndpointOrder[]>;
};

export const createEndpointOrdersClient = (http: HttpClient): EndpointOrdersClient => ({
	async send(order, options = {}) {
		const path = '/endpoint-orders';
		expectOk('endpoint order', await http.request({
			method: 'POST', path, body: order, ...options,
		}));
	},
	async list(dataCentre) {
		const response = await http.request({method: 'GET', path: '/endpoint-orders', query: {dataCentre}});
		const {body} = expectOk('endpoint orders', response);
		return validateListAs('endpoint orders', validators.validateEndpointOrder, body, 'orders');
	},
});

/** Sends the reports of usage windows. */
export type UsageReportsClient = {
	send(report: UsageReport, options?: SendOptions): Promise<void>;
};

export const createUsageReportsClient = (http: HttpClient): UsageReportsClient => ({
	async send(report, options = {}) {
		const path = '/usage-reports';
		expectOk('usage report', await http.request({
			method: 'POST', path, body: report, ...options,
		}));
	},
});
