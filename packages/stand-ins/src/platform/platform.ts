/**
 * Stand-in for the platform: table, object store, host list, endpoint orders and usage reports over HTTP, with faults
 * that tests switch on, and a history of everything it accepted.
 */
import {
	check, validators, type EndpointOrder, type Faults, type HostRecord, type UsageReport, type Validator,
} from '@hawthorncleat/schema';
import {
	BadBodyError, parseJson, sendJson, startHttpServer, type Exchange, type Handler, type HttpRoute,
} from '../http-server.js';
import {
	createPlatformState, type PlatformOptions, type PlatformRecord, type PlatformState,
} from './state.js';
import {compareKeys} from './table-store.js';
import {createTableRoutes} from './table-routes.js';

/** A running platform stand-in. */
export type PlatformStandIn = {
	readonly port: number;
	readonly url: string;
	/** Everything accepted so far, in order. */
	readonly history: readonly PlatformRecord[];
	/** Settles after `signal` aborted and every connection was closed. */
	readonly closed: Promise<void>;
	/** Replaces the faults in force. */
	setFaults(faults: Faults): void;
	putHost(record: HostRecord): void;
	removeHost(hostId: string): void;
};

const parseAs = <Value>(validator: unknown, body: string): Value => {
	const checked = check<Value>(validator as Validator, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	return checked.value;
};

const unlessObjectsDown = (state: PlatformState, handler: Handler): Handler => async exchange => {
	if (state.faults.objectsDown) {
		sendJson(exchange.res, 503, {error: 'object store is down'});
		return;
	}

	await handler(exchange);
};

const objectKey = ({params}: Exchange): string => params['*'] ?? '';

const objectRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/objects', unlessObjectsDown(state, ({res, query}) => {
		const prefix = query.get('prefix') ?? '';
		const keys = [...state.objects.keys()].filter(key => key.startsWith(prefix));
		sendJson(res, 200, {keys: keys.toSorted(compareKeys)});
	})],
	['GET', '/objects/*', unlessObjectsDown(state, exchange => {
		const value = state.objects.get(objectKey(exchange));
		if (value === undefined) {
			sendJson(exchange.res, 404, {error: 'no such object'});
		} else {
			sendJson(exchange.res, 200, value);
		}
	})],
	['PUT', '/objects/*', unlessObjectsDown(state, exchange => {
		const key = objectKey(exchange);
		const value = parseJson(exchange.body);
		state.objects.set(key, value);
		state.history.append({kind: 'object', key, value});
		sendJson(exchange.res, 200, {});
	})],
];

const putHost = (state: PlatformState, record: HostRecord): void => {
	state.hosts.put(record);
	state.history.append({kind: 'host', hostId: record.hostId, record});
};

const removeHost = (state: PlatformState, hostId: string): void => {
	state.hosts.remove(hostId);
	state.history.append({kind: 'host', hostId, record: null});
};

const listHosts = (state: PlatformState): Handler => ({res, query}) => {
	const list = state.hosts.list(query.get('dataCentre') ?? undefined, state.faults.hostListLagMs ?? 0);
	if (query.get('sinceVersion') === String(list.version)) {
		res.writeHead(304).end();
		return;
	}

	sendJson(res, 200, list);
};

const hostRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/hosts', listHosts(state)],
	['PUT', '/hosts/:hostId', ({res, body}) => {
		putHost(state, parseAs(validators.validateHostRecord, body));
		sendJson(res, 200, {});
	}],
	['DELETE', '/hosts/:hostId', ({res, params}) => {
		removeHost(state, params.hostId ?? '');
		sendJson(res, 200, {});
	}],
];

const acceptEndpointOrder = (state: PlatformState): Handler => ({res, body}) => {
	const order = parseAs<EndpointOrder>(validators.validateEndpointOrder, body);
	const repeated = state.endpointOrders.has(order.orderId);
	state.history.append({kind: 'endpoint-order', order, repeated});
	if (!repeated) {
		state.endpointOrders.set(order.orderId, order);
		state.options.onEndpointOrder?.(order);
	}

	sendJson(res, 200, {});
};

const listEndpointOrders = (state: PlatformState): Handler => ({res, query}) => {
	const dataCentre = query.get('dataCentre');
	const orders = [...state.endpointOrders.values()].filter(order => dataCentre === null || order.dataCentre === dataCentre);
	sendJson(res, 200, {orders});
};

const acceptUsageReport = (state: PlatformState): Handler => ({res, body}) => {
	const report = parseAs<UsageReport>(validators.validateUsageReport, body);
	const id = `${report.window}/${report.shard}`;
	const repeated = state.usageReports.has(id);
	state.history.append({kind: 'usage-report', report, repeated});
	state.usageReports.set(id, report);
	state.options.onUsageReport?.(report);
	sendJson(res, 200, {});
};

const setFaults = (state: PlatformState, faults: Faults): void => {
	state.faults = {...faults};
	state.history.append({kind: 'faults', faults});
};

const otherRoutes = (state: PlatformState): HttpRoute[] => [
	['POST', '/endpoint-orders', acceptEndpointOrder(state)],
	['GET', '/endpoint-orders', listEndpointOrders(state)],
	['POST', '/usage-reports', acceptUsageReport(state)],
	['PUT', '/faults', ({res, body}) => {
		setFaults(state, parseAs(validators.validateFaults, body));
		sendJson(res, 200, {});
	}],
	['GET', '/history', ({res}) => {
		sendJson(res, 200, {records: state.history.records});
	}],
];

/** Starts the platform stand-in. It runs until `signal` aborts. */
export const startPlatform = async (options: PlatformOptions, signal: AbortSignal): Promise<PlatformStandIn> => {
	const state = createPlatformState(options);
	const routes = [...createTableRoutes(state), ...objectRoutes(state), ...hostRoutes(state), ...otherRoutes(state)];
	const server = await startHttpServer({address: options.address, port: options.port, routes}, signal);
	return {
		port: server.port,
		url: server.url,
		closed: server.closed,
		history: state.history.records,
		setFaults(faults) {
			setFaults(state, faults);
		},
		putHost(record) {
			putHost(state, record);
		},
		removeHost(hostId) {
			removeHost(state, hostId);
		},
	};
};
