/**
 * The software versions at which recent streams of each service may have begun: those of the registered endpoints, those that peers tell, and those that the
 * store has, which outlast a moment in which all entries end. A version is forgotten, and its row removed, some time after its last endpoint has left.
 */
import {
	getOrCreate, softwareVersionOf, type Clock, type EntryPosition, type RegisteredEndpoint, type SoftwareVersion,
} from '@hawthorncleat/core';
import type {StreamOrigin} from '../streams/stream-origins.js';
import type {SoftwareRows} from './software-rows.js';

export type SoftwareVersionsOptions = {
	readonly clock: Clock;
	/** The registered endpoints. */
	readonly endpoints: () => ReadonlyArray<Pick<RegisteredEndpoint, 'service' | 'softwareVersion'>>;
	readonly rows: Pick<SoftwareRows, 'read' | 'remove' | 'save'>;
	/** Position of this entry among the live ones. The first one removes rows. */
	readonly position: () => EntryPosition;
	/** Whether a peer has been heard lately, or there is none. Peers tell of versions that are new. */
	readonly hearsPeers: () => boolean;
	/** Called when another version of a service has come into use. */
	readonly onChange: (change: {readonly service: string; readonly versions: readonly SoftwareVersion[]}) => void;
};

/** What is known of one version of a service. */
type KnownVersion = {
	/** When it was last registered, told or read. */
	seenMs: number;
	isSaved: boolean;
};

/** No stream that began before is resumed any more. */
const retentionMs = 120_000;
/** A row is written again if its version is used after this time, and so before others remove it. */
const savedMs = retentionMs / 2;
/** Pause after a call of the store that failed. */
const retryMs = 500;
/** An entry that has run for this time has heard of the versions that its peers use, so it needs the store only to be certain. */
const startedMs = 30_000;

export class SoftwareVersions {
	readonly #options: SoftwareVersionsOptions;
	readonly #services = new Map<string, Map<SoftwareVersion, KnownVersion>>();
	readonly #createdMs: number;
	#isWriting = false;
	#writeAgainMs = Number.NEGATIVE_INFINITY;
	#waitingRead: Promise<boolean> | undefined;
	#runningRead: Promise<unknown> = Promise.resolve();

	constructor(options: SoftwareVersionsOptions) {
		this.#options = options;
		this.#createdMs = options.clock.nowMs();
	}

	/** Versions at which recent streams of a service may have begun, as far as this entry knows. */
	versionsOf(service: string): SoftwareVersion[] {
		return [...this.#services.get(service)?.keys() ?? []];
	}

	/** Whether streams of a service may have begun at several versions. */
	isMixed(service: string): boolean {
		return (this.#services.get(service)?.size ?? 0) > 1;
	}

	/** Whether this is so for any service. */
	get isAnyMixed(): boolean {
		return [...this.#services.values()].some(({size}) => size > 1);
	}

	/** Records that the store has returned from an older copy, which may lack any of the rows. */
	recordStoreReturn(): void {
		for (const known of [...this.#services.values()].flatMap(versions => [...versions.values()])) {
			known.isSaved = false;
		}
	}

	/** Records a version that is in use. */
	note({service, softwareVersion}: StreamOrigin, {isSaved = false}: {readonly isSaved?: boolean} = {}): void {
		const versions = getOrCreate(this.#services, service, () => new Map<SoftwareVersion, KnownVersion>());
		const nowMs = this.#options.clock.nowMs();
		const known = versions.get(softwareVersion);
		if (known) {
			known.isSaved = (known.isSaved && nowMs - known.seenMs < savedMs) || isSaved;
			known.seenMs = nowMs;
			return;
		}

		versions.set(softwareVersion, {seenMs: nowMs, isSaved});
		if (versions.size > 1) {
			this.#options.onChange({service, versions: this.versionsOf(service)});
		}
	}

	/** Records the versions of the registered endpoints, writes new ones into the store and forgets those that are out of use. */
	update(): void {
		for (const endpoint of this.#options.endpoints()) {
			this.note({service: endpoint.service, softwareVersion: softwareVersionOf(endpoint)});
		}

		this.#forget();
		void this.#saveNew();
	}

	/**
	 * The only version at which a stream of a service can have begun; undefined if there are several. A version is written into the store when it comes into
	 * use, so reading the store tells those that this entry has not heard of.
	 */
	async findOnly(service: string): Promise<SoftwareVersion | undefined> {
		if (this.isMixed(service)) {
			return undefined;
		}

		const isRead = await this.#readOnce();
		const mayRely = isRead || (this.#options.hearsPeers() && this.#options.clock.nowMs() - this.#createdMs >= startedMs);
		const [only, ...others] = this.versionsOf(service);
		return mayRely && others.length === 0 ? only : undefined;
	}

	/** Reads the rows; requests that ask while a call is running share the next one. Returns false if the store did not answer. */
	async #readOnce(): Promise<boolean> {
		this.#waitingRead ??= (async () => {
			await this.#runningRead;
			this.#waitingRead = undefined;
			const read = this.#options.rows.read();
			this.#runningRead = read;
			const origins = await read;
			for (const origin of origins ?? []) {
				this.note(origin, {isSaved: true});
			}

			return origins !== undefined;
		})();
		return this.#waitingRead;
	}

	#forget(): void {
		const nowMs = this.#options.clock.nowMs();
		const forgotten: StreamOrigin[] = [];
		for (const [service, versions] of this.#services) {
			for (const [softwareVersion, {seenMs}] of versions) {
				if (nowMs - seenMs >= retentionMs) {
					versions.delete(softwareVersion);
					forgotten.push({service, softwareVersion});
				}
			}
		}

		if (forgotten.length > 0 && this.#options.position().index === 0) {
			void this.#options.rows.remove(forgotten);
		}
	}

	async #saveNew(): Promise<void> {
		const unsaved = [...this.#services].flatMap(([service, versions]) =>
			[...versions].filter(([, {isSaved}]) => !isSaved).map(([softwareVersion, known]) => ({service, softwareVersion, known})));
		if (unsaved.length === 0 || this.#isWriting || this.#options.clock.nowMs() < this.#writeAgainMs) {
			return;
		}

		this.#isWriting = true;
		const isSaved = await this.#options.rows.save(unsaved);
		this.#isWriting = false;
		this.#writeAgainMs = isSaved ? Number.NEGATIVE_INFINITY : this.#options.clock.nowMs() + retryMs;
		for (const {known} of unsaved) {
			known.isSaved ||= isSaved;
		}
	}
}
