/**
 * Stores the configuration in the platform's table and object store. Each version is one delta object, every hundredth
 * also a snapshot object, and becomes active by one conditional write of the row `config/head`. Names of objects have a
 * unique suffix, so that two writers of the same version can't overwrite each other's objects before the write of the
 * row decides between them.
 */
import {createPublish, type Publish} from './config-publish.js';
import {
	createConfigReader, type ConfigStoreOptions, type FetchedUpdate, type HeadRow,
} from './config-reader.js';

/** The configuration store. Methods reject with a `StoreError` if the platform cannot be reached. */
export type ConfigStore = {
	readonly publish: Publish;
	readHead(): Promise<HeadRow>;
	/** Reads the deltas after a version, or a snapshot and the deltas after it if the head no longer lists them all. */
	fetchSince(version: number): Promise<FetchedUpdate>;
};

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
