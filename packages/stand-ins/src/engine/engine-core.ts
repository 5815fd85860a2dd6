/**
 * State of the stand-in engine apart from HTTP: orders, crashes, prompt cache and prefilled KV cache.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {EngineOrder, EngineState} from '@hawthorncleat/schema';
import {createHistory, type History} from '../history.js';
import type {EngineEvent, FullEngineOptions} from './options.js';
import {PrefixCache, type CacheEvent} from './prefix-cache.js';
import {Scheduler, type Sequence} from './scheduler.js';
import {computePrefixBlocks} from './tokens.js';

/** KV cache of a prompt that waits to be fetched by another engine. */
export type KvExport = {readonly prompt: string; readonly promptTokens: number};

// Exported KV cache that nobody fetches must not fill the memory.
const maxKvEntries = 64;

/** Answer to an order. */
export type OrderResult = {readonly accepted: boolean; readonly lastOrder: number};

/** Work of one request, to be ended from outside. */
export type ActiveRequest = {readonly sequence: Sequence; readonly cutOff: () => void; readonly cancel: () => void};

export class EngineCore {
	readonly options: FullEngineOptions;
	readonly scheduler: Scheduler;
	readonly cache: PrefixCache;
	readonly history: History<EngineEvent> = createHistory<EngineEvent>();
	readonly activeRequests = new Map<string, ActiveRequest>();
	readonly kvExports = new Map<string, KvExport>();
	role: EngineState['role'];
	model: string;
	version: string;
	#ordersRunning = 0;
	#highestOrder = 0;
	#lastOrder = 0;
	#incarnation = 0;
	#kvCount = 0;

	constructor(options: FullEngineOptions, onCacheEvent: (event: CacheEvent) => void) {
		this.options = options;
		this.scheduler = new Scheduler(options);
		this.cache = new PrefixCache(options.cacheBlocks, onCacheEvent);
		this.role = options.role;
		this.model = options.model;
		this.version = options.version;
	}

	get isChanging(): boolean {
		return this.#ordersRunning > 0;
	}

	get state(): EngineState {
		return {
			role: this.role,
			changing: this.isChanging,
			lastOrder: this.#lastOrder,
			running: this.scheduler.running,
			waiting: this.scheduler.waiting,
			kvFreeTokens: this.scheduler.kvFreeTokens,
		};
	}

	/** Looks a prompt up in the cache and returns the number of its tokens that are cached. */
	countCachedTokens(prompt: string): number {
		const blocks = computePrefixBlocks(prompt, this.options.blockTokens);
		return this.cache.countCached(blocks) * this.options.blockTokens;
	}

	storePrefix(prompt: string): void {
		this.cache.store(computePrefixBlocks(prompt, this.options.blockTokens));
	}

	addKvExport(entry: KvExport): string {
		this.#kvCount += 1;
		const handle = `kv-${this.#incarnation}-${this.#kvCount}`;
		this.kvExports.set(handle, entry);
		if (this.kvExports.size > maxKvEntries) {
			this.kvExports.delete(this.kvExports.keys().next().value!);
		}

		return handle;
	}

	start(work: ActiveRequest): void {
		this.activeRequests.set(work.sequence.requestId, work);
		this.scheduler.add(work.sequence);
	}

	/** Removes a request's work; false if it was not there any more. */
	finish(work: ActiveRequest): boolean {
		if (this.activeRequests.get(work.sequence.requestId) !== work) {
			return false;
		}

		this.activeRequests.delete(work.sequence.requestId);
		this.scheduler.remove(work.sequence);
		return true;
	}

	/** Executes an order. Work that is still running is cut off, as in an engine that reloads its weights. */
	async executeOrder(order: EngineOrder): Promise<OrderResult> {
		if (this.options.checksOrderNumbers && (order.orderNumber <= this.#highestOrder || this.isChanging)) {
			this.history.append({kind: 'order-refused', order, lastOrder: this.#highestOrder});
			return {accepted: false, lastOrder: this.#highestOrder};
		}

		this.#highestOrder = Math.max(this.#highestOrder, order.orderNumber);
		const overlapping = this.isChanging;
		this.#ordersRunning += 1;
		this.history.append({
			kind: 'order-start', order, overlapping, cutOff: this.#cutOffAll(),
		});
		const incarnation = this.#incarnation;
		await delay(this.options.changeMs);
		// A crash in the meantime has ended the change without effect.
		if (incarnation !== this.#incarnation) {
			return {accepted: false, lastOrder: this.#lastOrder};
		}

		this.#completeOrder(order);
		return {accepted: true, lastOrder: this.#lastOrder};
	}

	/** Loses everything that the engine holds in memory. Role and order numbers survive. */
	crash(): void {
		this.history.append({kind: 'crash', cutOff: this.#cutOffAll()});
		this.#incarnation += 1;
		this.#ordersRunning = 0;
		this.cache.clear();
		this.kvExports.clear();
	}

	#completeOrder(order: EngineOrder): void {
		this.#ordersRunning -= 1;
		this.#lastOrder = order.orderNumber;
		this.role = order.role ?? this.role;
		this.model = order.model ?? this.model;
		this.version = order.version ?? this.version;
		this.cache.clear();
		this.kvExports.clear();
		this.history.append({kind: 'order-end', order});
	}

	#cutOffAll(): number {
		const all = [...this.activeRequests.values()];
		this.activeRequests.clear();
		this.scheduler.clear();
		for (const work of all) {
			work.cutOff();
		}

		return all.length;
	}
}
