/**
 * State of the platform stand-in and the records of its history.
 */
import type {
	EndpointOrder, Faults, HostRecord, TablePut, UsageReport,
} from '@hawthorncleat/schema';
import {createHistory, type History, type RecordFields} from '../history.js';
import {HostDirectory} from './host-directory.js';
import {TableStore} from './table-store.js';

/** An entry of the platform's history. `repeated` marks an order or a report whose id was accepted before. */
export type PlatformEvent
	= | {
		readonly kind: 'write';
		readonly writeId: string;
		readonly puts: readonly TablePut[];
		readonly deletes: readonly string[];
		readonly versions: Readonly<Record<string, number>>;
		readonly answerLost: boolean;
	}
	| {readonly kind: 'object'; readonly key: string; readonly value: unknown}
	| {readonly kind: 'endpoint-order'; readonly order: EndpointOrder; readonly repeated: boolean}
	| {readonly kind: 'usage-report'; readonly report: UsageReport; readonly repeated: boolean}
	| {readonly kind: 'host'; readonly hostId: string; readonly record: HostRecord | null}
	| {readonly kind: 'faults'; readonly faults: Faults};

export type PlatformRecord = PlatformEvent & RecordFields;

export type PlatformOptions = {
	readonly address?: string;
	readonly port?: number;
	readonly hosts?: readonly HostRecord[];
	readonly faults?: Faults;
	/** How the table fails while `tableDown` is set: it resets the connection (the default) or answers with status 503. */
	readonly tableDownResponse?: 'reset' | 'unavailable';
	/** Called once for each order id, after the history has recorded the order. */
	readonly onEndpointOrder?: (order: EndpointOrder) => void;
	/** Called for each usage report, after the history has recorded it and before the answer is sent. */
	readonly onUsageReport?: (report: UsageReport) => void;
};

export type PlatformState = {
	readonly options: PlatformOptions;
	readonly table: TableStore;
	readonly objects: Map<string, unknown>;
	readonly hosts: HostDirectory;
	readonly endpointOrders: Map<string, EndpointOrder>;
	readonly usageReports: Map<string, UsageReport>;
	readonly history: History<PlatformEvent>;
	faults: Faults;
};

export const createPlatformState = (options: PlatformOptions): PlatformState => ({
	options,
	table: new TableStore(),
	objects: new Map(),
	hosts: new HostDirectory(options.hosts ?? []),
	endpointOrders: new Map(),
	usageReports: new Map(),
	history: createHistory(),
	faults: {...options.faults},
});
