/**
 * Clients of the platform's object store, host list, endpoint orders and usage reports.
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
		throw createStoreError('object list gave an answer without keys', 'unknown');
	}

	return keys;
};

/** Creates the client of the object store. */
export const createObjectStoreClient = (http: HttpClient): ObjectStore => ({
	async read(key) {
		const answer = await http.request({method: 'GET', path: objectPath(key)});
		return answer.status === httpNotFound ? undefined : expectOk('object read', answer).body;
	},
	async write(key, value) {
		expectOk('object write', await http.request({method: 'PUT', path: objectPath(key), body: value}));
	},
	async list(prefix) {
		return readKeys(expectOk('object list', await http.request({method: 'GET', path: '/objects', query: {prefix}})).body);
	},
});

/** The platform's lagging list of hosts. */
export type HostListClient = {
	/** Undefined means that the list still has the version `sinceVersion`. */
	read(dataCentre: string, sinceVersion?: number): Promise<HostList | undefined>;
};

/** Creates the client of the host list. */
export const createHostListClient = (http: HttpClient): HostListClient => ({
	async read(dataCentre, sinceVersion) {
		const answer = await http.request({method: 'GET', path: '/hosts', query: {dataCentre, sinceVersion}});
		if (answer.status === httpNotModified) {
			return undefined;
		}

		return validateAs<HostList>('host list', validators.validateHostList, expectOk('host list', answer).body);
	},
});

export type SendOptions = {
	/** The last check of the sender's authority, made in the step that writes the request to its connection. */
	readonly maySend?: () => boolean;
};

/** Orders of endpoints. An order sent twice has the same id and content. */
export type EndpointOrdersClient = {
	send(order: EndpointOrder, options?: SendOptions): Promise<void>;
	list(dataCentre: string): Promise<EndpointOrder[]>;
};

/** Creates the client of endpoint orders. */
export const createEndpointOrdersClient = (http: HttpClient): EndpointOrdersClient => ({
	async send(order, options = {}) {
		const path = '/endpoint-orders';
		expectOk('endpoint order', await http.request({
			method: 'POST', path, body: order, ...options,
		}));
	},
	async list(dataCentre) {
		const answer = await http.request({method: 'GET', path: '/endpoint-orders', query: {dataCentre}});
		const {body} = expectOk('endpoint orders', answer);
		return validateListAs('endpoint orders', validators.validateEndpointOrder, body, 'orders');
	},
});

/** Reports of usage windows. */
export type UsageReportsClient = {
	send(report: UsageReport, options?: SendOptions): Promise<void>;
};

/** Creates the client of usage reports. */
export const createUsageReportsClient = (http: HttpClient): UsageReportsClient => ({
	async send(report, options = {}) {
		const path = '/usage-reports';
		expectOk('usage report', await http.request({
			method: 'POST', path, body: report, ...options,
		}));
	},
});
