/**
 * A fleet of entries on a manual clock that begin and resume streams while endpoints are released, entries are killed, the store fails and datagrams get
 * lost. It knows which version really began each stream.
 */
import {
	brandAs, type EndpointId, type RegisteredEndpoint, type RequestId, type SoftwareVersion, type StoreGeneration,
} from '@hawthorncleat/core';
import {createManualClock, type ManualClock} from '@hawthorncleat/test-kit';
import {DecisionLog} from '../../telemetry/decision-log.js';
import {decodeMessage, encodeMessage} from '../../peers/gossip-message.js';
import type {RowStore, StoreTable} from '../../ports.js';
import {ResumedStreams} from '../resumed-streams.js';
import {SoftwareRows} from '../../versions/software-rows.js';
import {SoftwareVersions} from '../../versions/software-versions.js';
import {StreamOrigins} from '../stream-origins.js';
import {StreamRows} from '../stream-rows.js';

export const stepMs = 50;
const service = 'models';
const gossipSteps = 2;
const checkSteps = 2;
/** An entry reads registrations this late at most. */
const viewLagSteps = 16;
const endpointCount = 6;

type Entry = {
	readonly name: string;
	readonly versions: SoftwareVersions;
	readonly origins: StreamOrigins;
	readonly rows: StreamRows;
	readonly streams: ResumedStreams;
	/** Endpoints as this entry has read them. */
	view: readonly RegisteredEndpoint[];
	isCutOff: boolean;
};

type Stream = {readonly id: RequestId; readonly version: SoftwareVersion; readonly begunMs: number};

export type Resumed = {readonly truth: SoftwareVersion; readonly found: SoftwareVersion | undefined; readonly ageMs: number};

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const createEndpoint = (id: number, version: string): RegisteredEndpoint => ({
	id: brandAs<EndpointId>(`i-${id}`), service, address: '127.0.0.1', port: 9, dataCentre: 'a', slots: 8, isLeaving: false, startedAt: id, heartbeat: 1,
	softwareVersion: brandAs<SoftwareVersion>(version),
});

const route = {isResumable: true};

export class StreamVersionsWorld {
	readonly clock: ManualClock = createManualClock(1_000_000);
	readonly resumed: Resumed[] = [];
	isStoreDown = false;
	readonly #random: () => number;
	readonly #tables = new Map<StoreTable, Map<string, string>>();
	#endpoints: RegisteredEndpoint[] = [];
	#endpointNumber = 0;
	#versionNumber = 1;
	#streams: Stream[] = [];
	#streamNumber = 0;
	#entries: Entry[];
	#step = 0;

	constructor(random: () => number, entryCount: number) {
		this.#random = random;
		this.#endpoints = Array.from({length: endpointCount}, () => this.#start('v1'));
		this.#entries = Array.from({length: entryCount}, (_, index) => this.#createEntry(`e${index}`));
	}

	/** Replaces some of the endpoints by ones of a new version, or the rest by ones of the newest. */
	release(): void {
		const newest = `v${this.#versionNumber}`;
		const isRest = this.#endpoints.some(({softwareVersion}) => softwareVersion !== newest);
		this.#versionNumber += isRest ? 0 : 1;
		const version = `v${this.#versionNumber}`;
		const share = this.#random() < 0.3 ? 1 : this.#random();
		this.#endpoints = this.#endpoints.map(endpoint => endpoint.softwareVersion === version || this.#random() >= share ? endpoint : this.#start(version));
	}

	/** Kills each entry with this probability; it starts again at once with nothing but what the store has. */
	kill(probability: number): void {
		this.#entries = this.#entries.map(entry => this.#random() < probability ? this.#createEntry(entry.name) : entry);
	}

	cutOff(probability: number): void {
		for (const entry of this.#entries) {
			entry.isCutOff = this.#random() < probability;
		}
	}

	async step(): Promise<void> {
		this.#step += 1;
		this.clock.advance(stepMs);
		this.#readRegistrations();
		this.#beginStreams();
		if (this.#step % gossipSteps === 0) {
			this.#gossip();
		}

		if (this.#step % checkSteps === 0) {
			for (const {versions, rows} of this.#entries) {
				versions.update();
				void rows.saveIfDue();
			}
		}

		await settle();
	}

	/** A caller resumes one of the streams that began in the last seconds, at any entry. */
	async resume(): Promise<void> {
		const recent = this.#streams.filter(({begunMs}) => this.clock.nowMs() - begunMs < 8000);
		const stream = recent[Math.floor(this.#random() * recent.length)];
		const entry = this.#entries[Math.floor(this.#random() * this.#entries.length)]!;
		if (stream) {
			const found = await entry.streams.findVersion({
				request: {id: brandAs<RequestId>('resumed'), resumedId: stream.id, lastEventId: '3'},
				service: {name: service},
				exchange: {signal: new AbortController().signal},
			});
			this.resumed.push({truth: stream.version, found, ageMs: this.clock.nowMs() - stream.begunMs});
		}
	}

	#start(version: string): RegisteredEndpoint {
		this.#endpointNumber += 1;
		return createEndpoint(this.#endpointNumber, version);
	}

	#readRegistrations(): void {
		for (const entry of this.#entries) {
			if (!this.isStoreDown && !entry.isCutOff && this.#random() < 1 / viewLagSteps) {
				entry.view = this.#endpoints;
			}
		}
	}

	#beginStreams(): void {
		for (const {view, streams} of this.#entries) {
			// An endpoint that has been replaced serves nothing more.
			const serving = view.filter(endpoint => this.#endpoints.includes(endpoint));
			const endpoint = serving[Math.floor(this.#random() * serving.length)];
			if (endpoint && this.#random() < 0.5) {
				this.#streamNumber += 1;
				const id = brandAs<RequestId>(`s${this.#streamNumber}`);
				streams.recordBegun({request: {id}, route, service: {name: service}}, endpoint);
				this.#streams.push({id, version: endpoint.softwareVersion!, begunMs: this.clock.nowMs()});
			}
		}

		this.#streams = this.#streams.slice(-1000);
	}

	#gossip(): void {
		for (const sender of this.#entries) {
			const streams = sender.origins.newsToSend('all');
			const text = encodeMessage({
				from: sender.name, configVersion: 1, phase: {phase: 'ready', stoppingMs: 0}, roleChanges: [], load: {running: [], sent: []}, crashes: [], departures: [], streams,
			});
			for (const receiver of this.#entries) {
				if (receiver !== sender && this.#random() >= 0.1) {
					const news = decodeMessage(text)?.streams ?? [];
					receiver.origins.applyNews(news);
					for (const origin of news) {
						receiver.versions.note(origin);
					}
				}
			}
		}
	}

	#createEntry(name: string): Entry {
		const {clock} = this;
		const log = new DecisionLog(clock, {write: () => undefined, pendingBytes: () => 0}, name);
		const position = (): {readonly index: number; readonly count: number} => ({index: Number(name.slice(1)), count: this.#entries.length});
		const rows = this.#createRows(() => entry.isCutOff);
		const versions = new SoftwareVersions({
			clock,
			endpoints: () => entry.view,
			rows: new SoftwareRows(rows, log),
			position,
			hearsPeers: () => true,
			onChange: () => undefined,
		});
		const origins = new StreamOrigins({clock, isTold: told => versions.isMixed(told), isAnyTold: () => versions.isAnyMixed});
		const streamRows = new StreamRows({
			rows, origins, ownName: name, correctedClock: {storeNowMs: () => clock.nowMs()}, nowMs: () => clock.nowMs(), position, log,
		});
		const streams = new ResumedStreams({
			origins, versions, rows: streamRows, newsMs: () => 1,
		});
		const entry: Entry = {
			name, versions, origins, rows: streamRows, streams, view: [], isCutOff: false,
		};
		return entry;
	}

	#createRows(isCutOff: () => boolean): RowStore {
		const check = (): void => {
			if (this.isStoreDown || isCutOff()) {
				throw new Error('the store is down');
			}
		};

		return {
			read: async table => {
				check();
				return {
					rows: [...this.#tables.get(table) ?? []].map(([key, value]) => ({key, value, version: 1})),
					version: 1,
					storeNowMs: this.clock.nowMs(),
					bytes: 0,
					transferMs: 0,
					generation: brandAs<StoreGeneration>(0),
				};
			},
			watch: async () => undefined,
			write: async (table, changed) => {
				check();
				const values = this.#tables.get(table) ?? new Map<string, string>();
				this.#tables.set(table, values);
				for (const {key, value} of changed) {
					if (value === undefined) {
						values.delete(key);
					} else {
						values.set(key, value);
					}
				}
			},
		};
	}
}
