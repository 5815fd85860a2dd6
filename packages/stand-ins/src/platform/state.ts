/**
 * State of the platform stand-in and the records of its history.
 */
import type {
	EndpointOrder, Faults, HostRecord, TablePut, UsageReport,
} from '@hawthorncleat/schema';
import {createHistory, type History, type RecordFields} from '../history.js';
import {HostDirectory} from './host-directory.js';
import {TableStore} from './table-store.js';

/** What the platform accepted. `repeated` marks an order or report whose id was seen before. */
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
	/** How the table fails while it is down: by a reset connection or by an answer with status 503. */
	readonly tableDownResponse?: 'reset' | 'unavailable';
	/** Called once for each new order id, after it was recorded. */
	readonly onEndpointOrder?: (order: EndpointOrder) => void;
	/** Called for each usage report after it was recorded and before it is answered. */
	readonly onUsageReport?: (report: UsageReport) => void;
};

/** Everything that the platform stand-in holds. */
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
