export {
	createStoreError,
	isStoreError,
	type ObjectStore,
	type StoreError,
	type Table,
	type TransactResult,
	type WriteOutcome,
} from './store.js';
export {
	createHttpClient, defaultPlatformTimeoutMs, type HttpClient, type HttpClientOptions,
} from './http-client.js';
export {createTable} from './table.js';
export {
	createEndpointOrders,
	createHostList,
	createObjectStore,
	createUsageReports,
	type EndpointOrdersClient,
	type HostListClient,
	type SendOptions,
	type UsageReportsClient,
} from './services.js';
export {transactOnce, type OnceResult, type Settle} from './transact-once.js';
export {runLease, type LeaseRunnerOptions} from './lease-runner.js';
export {
	type Attestation, type Authority, type Lease, type OutageEvidence,
} from './lease-tenure.js';
export {createClaimWriter, type ClaimWriter, type ClaimWriterOptions} from './claim-writer.js';
export {createConfigStore, type ConfigStore} from './config-store.js';
export {
	headKey, type ConfigStoreOptions, type FetchedConfig, type HeadRow,
} from './config-reader.js';
export type {
	AnnouncedOutcome, Publish, PublishRequest, PublishResult,
} from './config-publish.js';
