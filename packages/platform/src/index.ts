export {
	createStoreError,
	isStoreError,
	type ObjectStore,
	type StoreError,
	type Table,
	type TransactResult,
	type WriteOutcome,
} from './store.js';
export {createConfigStore, type ConfigStore} from './config-store.js';
export {
	headKey, type ConfigStoreOptions, type FetchedConfig, type HeadRow,
} from './config-reader.js';
export type {
	AnnouncedOutcome, Publish, PublishRequest, PublishResult,
} from './config-publish.js';
