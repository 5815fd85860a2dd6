export {
	createStoreError,
	isStoreError,
	type ObjectStore,
	type StoreError,
	type Table,
	type TransactResult,
	type WriteOutcome,
} from './store.js';
