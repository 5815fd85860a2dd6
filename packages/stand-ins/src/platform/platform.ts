/**
 * Stand-in for the platform over HTTP: table, object store, host list, endpoint orders and usage reports. Tests inject
 * faults and read the history of everything that it accepted.
 */
import {
	validate, validators, type EndpointOrder, type Faults, type HostRecord, type UsageReport, type Validator,
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
	readonly history: readonly PlatformRecord[];
	/** Resolves once `signal` has aborted and every connection is closed. */
	readonly closed: Promise<void>;
	/** Replaces all active faults. */
	setFaults(faults: Faults): void;
	putHost(record: HostRecord): void;
	removeHost(hostId: string): void;
};

const parseBody = <Value>(validator: unknown, body: string): Value => {
	const checked = validate<Value>(validator as Validator, parseJson(body));
	if (!checked.ok) {
		throw new BadBodyError(JSON.stringify(checked.findings));
	}

	return checked.value;
};

const withObjectFaults = (state: PlatformState, handler: Handler): Handler => async exchange => {
	if (state.faults.objectsDown) {
		sendJson(exchange.res, 503, {error: 'object store is down'});
		return;
	}

	await handler(exchange);
};

const getObjectKey = ({params}: Exchange): string => params['*'] ?? '';

const createObjectRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/objects', withObjectFaults(state, ({res, query}) => {
		const prefix = query.get('prefix') ?? '';
		const keys = [...state.objects.keys()].filter(key => key.startsWith(prefix));
		sendJson(res, 200, {keys: keys.toSorted(compareKeys)});
	})],
	['GET', '/objects/*', withObjectFaults(state, exchange => {
		const value = state.objects.get(getObjectKey(exchange));
		if (value === undefined) {
			sendJson(exchange.res, 404, {error: 'no such object'});
		} else {
			sendJson(exchange.res, 200, value);
		}
	})],
	['PUT', '/objects/*', withObjectFaults(state, exchange => {
		const key = getObjectKey(exchange);
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

const createHostListHandler = (state: PlatformState): Handler => ({res, query}) => {
	const list = state.hosts.list(query.get('dataCentre') ?? undefined, state.faults.hostListLagMs ?? 0);
	if (query.get('sinceVersion') === String(list.version)) {
		res.writeHead(304).end();
		return;
	}

	sendJson(res, 200, list);
};

const createHostRoutes = (state: PlatformState): HttpRoute[] => [
	['GET', '/hosts', createHostListHandler(state)],
	['PUT', '/hosts/:hostId', ({res, body}) => {
		putHost(state, parseBody(validators.validateHostRecord, body));
		sendJson(res, 200, {});
	}],
	['DELETE', '/hosts/:hostId', ({res, params}) => {
		removeHost(state, params.hostId ?? '');
		sendJson(res, 200, {});
	}],
];

const createOrderHandler = (state: PlatformState): Handler => ({res, body}) => {
	const order = parseBody<EndpointOrder>(validators.validateEndpointOrder, body);
	const isRepeated = state.endpointOrders.has(order.orderId);
	state.history.append({kind: 'endpoint-order', order, repeated: isRepeated});
	if (!isRepeated) {
		state.endpointOrders.set(order.orderId, order);
		state.options.onEndpointOrder?.(order);
	}

	sendJson(res, 200, {});
};

const createOrderListHandler = (state: PlatformState): Handler => ({res, query}) => {
	const dataCentre = query.get('dataCentre');
	const orders = [...state.endpointOrders.values()].filter(order => dataCentre === null || order.dataCentre === dataCentre);
	sendJson(res, 200, {orders});
};

const createUsageReportHandler = (state: PlatformState): Handler => ({res, body}) => {
	const report = parseBody<UsageReport>(validators.validateUsageReport, body);
	const id = `${report.window}/${report.shard}`;
	const isRepeated = state.usageReports.has(id);
	state.history.append({kind: 'usage-report', report, repeated: isRepeated});
	state.usageReports.set(id, report);
	state.options.onUsageReport?.(report);
	sendJson(res, 200, {});
};

const setFaults = (state: PlatformState, faults: Faults): void => {
	state.faults = {...faults};
	state.history.append({kind: 'faults', faults});
};

const createOrderAndControlRoutes = (state: PlatformState): HttpRoute[] => [
	['POST', '/endpoint-orders', createOrderHandler(state)],
	['GET', '/endpoint-orders', createOrderListHandler(state)],
	['POST', '/usage-reports', createUsageReportHandler(state)],
	['PUT', '/faults', ({res, body}) => {
		setFaults(state, parseBody(validators.validateFaults, body));
		sendJson(res, 200, {});
	}],
	['GET', '/history', ({res}) => {
		sendJson(res, 200, {records: state.history.records});
	}],
];

/** Starts the platform stand-in. It runs until `signal` aborts. */
export const startPlatform = async (options: PlatformOptions, signal: AbortSignal): Promise<PlatformStandIn> => {
	const state = createPlatformState(options);
	const routes = [...createTableRoutes(state), ...createObjectRoutes(state), ...createHostRoutes(state), ...createOrderAndControlRoutes(state)];
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
