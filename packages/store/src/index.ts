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
export {createTableClient} from './table.js';
export {
	createEndpointOrdersClient,
	createHostListClient,
	createObjectStoreClient,
	createUsageReportsClient,
	type EndpointOrdersClient,
	type HostListClient,
	type SendOptions,
	type UsageReportsClient,
} from './platform-clients.js';
export {transactWithReadBack, type WriteResult, type WriteIdentity} from './transact-with-read-back.js';
export {runLease, type LeaseRunnerOptions} from './lease-runner.js';
export {
	type Attestation, type Authority, type Lease, type DutyWitnessClient,
} from './lease-tenure.js';
export {createClaimWriter, type ClaimWriter, type ClaimWriterOptions} from './claim-writer.js';
export {createConfigStore, type ConfigStore} from './config-store.js';
export {
	headKey, type ConfigStoreOptions, type FetchedUpdate, type HeadRow,
} from './config-reader.js';
export type {
	AnnouncementOutcome, Publish, PublishRequest, PublishResult,
} from './config-publish.js';
