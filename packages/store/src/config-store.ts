/**
 * The configuration in the platform's store. A version is one delta object, every hundredth also a snapshot object, and
 * comes into force by one conditional write of the row `config/head`. Objects carry a random part in their names, so
 * that two writers of the same version never overwrite each other's object before one of them wins the row.
 */
import {createPublish, type Publish} from './config-publish.js';
import {
	createConfigReader, type ConfigStoreOptions, type FetchedUpdate, type HeadRow,
} from './config-reader.js';

/** The configuration store. Methods reject with a `StoreError` when the platform cannot be reached. */
export type ConfigStore = {
	readonly publish: Publish;
	readHead(): Promise<HeadRow>;
	/** Reads the deltas after a version, or the snapshot and the deltas after it when those are no longer listed. */
	fetchSince(version: number): Promise<FetchedUpdate>;
};

/** Creates the store on top of the platform's table and object store. */
export const createConfigStore = (options: ConfigStoreOptions): ConfigStore => {
	const reader = createConfigReader(options);
	return {
		readHead: reader.readHead,
		async fetchSince(version) {
			const {head} = await reader.readHead();
			return reader.fetchUpdate(head, version);
		},
		publish: createPublish(options, reader),
	};
};
