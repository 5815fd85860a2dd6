/**
 * State of the stand-in engine, without HTTP: role and model, active requests, prompt cache, exported KV caches, and the
 * execution of orders and crashes.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {EngineOrder, EngineState} from '@hawthorncleat/schema';
import {createHistory, type History} from '../history.js';
import type {EngineEvent, FullEngineOptions} from './options.js';
import {PrefixCache, type CacheEvent} from './prefix-cache.js';
import {Scheduler, type Sequence} from './scheduler.js';
import {computePrefixBlocks} from './tokens.js';

/** The KV cache of a prefilled prompt, which another engine can fetch. */
export type KvExport = {readonly prompt: string; readonly promptTokens: number};

// Bounds the memory of exports that no engine fetches. The oldest export is evicted first.
const maxKvExports = 64;

/** `lastOrder` is the last completed order's number or, if the order's number was refused, the highest accepted one. */
export type OrderResult = {readonly accepted: boolean; readonly lastOrder: number};

/** A running or waiting request. `cutOff` breaks its connection; `cancel` ends it at the caller's request. */
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
	#runningOrders = 0;
	#highestOrder = 0;
	#lastOrder = 0;
	#incarnation = 0;
	#kvExportCount = 0;

	constructor(options: FullEngineOptions, onCacheEvent: (event: CacheEvent) => void) {
		this.options = options;
		this.scheduler = new Scheduler(options);
		this.cache = new PrefixCache(options.cacheBlocks, onCacheEvent);
		this.role = options.role;
		this.model = options.model;
		this.version = options.version;
	}

	get isChanging(): boolean {
		return this.#runningOrders > 0;
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

	/** Counts the leading tokens of a prompt that are cached, and marks their blocks as recently used. */
	countCachedTokens(prompt: string): number {
		const blocks = computePrefixBlocks(prompt, this.options.blockTokens);
		return this.cache.countCached(blocks) * this.options.blockTokens;
	}

	storePrefix(prompt: string): void {
		this.cache.store(computePrefixBlocks(prompt, this.options.blockTokens));
	}

	addKvExport(entry: KvExport): string {
		this.#kvExportCount += 1;
		const handle = `kv-${this.#incarnation}-${this.#kvExportCount}`;
		this.kvExports.set(handle, entry);
		if (this.kvExports.size > maxKvExports) {
			this.kvExports.delete(this.kvExports.keys().next().value!);
		}

		return handle;
	}

	start(request: ActiveRequest): void {
		this.activeRequests.set(request.sequence.requestId, request);
		this.scheduler.add(request.sequence);
	}

	/** Removes a request and returns whether it was still active. */
	finish(request: ActiveRequest): boolean {
		if (this.activeRequests.get(request.sequence.requestId) !== request) {
			return false;
		}

		this.activeRequests.delete(request.sequence.requestId);
		this.scheduler.remove(request.sequence);
		return true;
	}

	/** Executes an order. Cuts off all active requests, as an engine that reloads its weights does. */
	async executeOrder(order: EngineOrder): Promise<OrderResult> {
		if (this.options.checksOrderNumbers && (order.orderNumber <= this.#highestOrder || this.isChanging)) {
			this.history.append({kind: 'order-refused', order, lastOrder: this.#highestOrder});
			return {accepted: false, lastOrder: this.#highestOrder};
		}

		this.#highestOrder = Math.max(this.#highestOrder, order.orderNumber);
		const isOverlapping = this.isChanging;
		this.#runningOrders += 1;
		this.history.append({
			kind: 'order-start', order, overlapping: isOverlapping, cutOff: this.#cutOffActiveRequests(),
		});
		const incarnation = this.#incarnation;
		await delay(this.options.changeMs);
		// A crash during the delay has discarded the order.
		if (incarnation !== this.#incarnation) {
			return {accepted: false, lastOrder: this.#lastOrder};
		}

		this.#completeOrder(order);
		return {accepted: true, lastOrder: this.#lastOrder};
	}

	/** Discards active requests, caches and running orders. Role, model and order numbers survive. */
	crash(): void {
		this.history.append({kind: 'crash', cutOff: this.#cutOffActiveRequests()});
		this.#incarnation += 1;
		this.#runningOrders = 0;
		this.cache.clear();
		this.kvExports.clear();
	}

	#completeOrder(order: EngineOrder): void {
		this.#runningOrders -= 1;
		this.#lastOrder = order.orderNumber;
		this.role = order.role ?? this.role;
		this.model = order.model ?? this.model;
		this.version = order.version ?? this.version;
		this.cache.clear();
		this.kvExports.clear();
		this.history.append({kind: 'order-end', order});
	}

	#cutOffActiveRequests(): number {
		const requests = [...this.activeRequests.values()];
		this.activeRequests.clear();
		this.scheduler.clear();
		for (const request of requests) {
			request.cutOff();
		}

		return requests.length;
	}
}
