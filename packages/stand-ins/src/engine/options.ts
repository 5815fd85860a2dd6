/**
 * Options and history records of the stand-in engine.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {EngineOrder, EngineState} from '@hawthorncleat/schema';
import type {RecordFields} from '../history.js';

/** A fault injected into an answer. */
export type AnswerFault
	/** The answer ends half way, with a line that is not JSON. */
	= | 'nonsense'
		/** The answer ends half way, without an end line. */
		| 'stop-halfway'
		/** The answer stops half way, and the connection stays open. */
		| 'stall';

export type EngineOptions = {
	readonly address?: string;
	readonly port?: number;
	readonly role?: EngineState['role'];
	readonly model?: string;
	readonly version?: string;
	/** Duration of one step of the batch. */
	readonly stepMs?: number;
	readonly prefillTokensPerStep?: number;
	readonly maxRunning?: number;
	/** KV cache memory for running requests, in tokens. */
	readonly kvTokens?: number;
	/** Size of a block of the prompt cache. */
	readonly blockTokens?: number;
	/** Capacity of the prompt cache, in blocks. */
	readonly cacheBlocks?: number;
	/** Time that an order takes, during which the engine rejects requests. */
	readonly changeMs?: number;
	/** Whether an order is refused while another is running, or if its number is not the highest so far. */
	readonly checksOrderNumbers?: boolean;
	/** A prompt that contains this text crashes the engine one step after its answer has started. */
	readonly crashMarker?: string;
	/** Time from a crash until the engine listens again. */
	readonly restartMs?: number;
	/** Added duration of a KV cache transfer from another engine. */
	readonly kvTransferMs?: number;
	/** Delay before a cache event is sent. */
	readonly eventDelayMs?: number;
	/** Every nth cache event is dropped; 0 drops none. */
	readonly loseEveryNthEvent?: number;
	/** Chooses the fault of an answer from its number, counted from 1. */
	readonly chooseFault?: (answerNumber: number, prompt: string) => AnswerFault | undefined;
};

export const engineDefaults = {
	role: 'mixed',
	model: 'model',
	version: '1',
	stepMs: 5,
	prefillTokensPerStep: 512,
	maxRunning: 16,
	kvTokens: 64_000,
	blockTokens: 16,
	cacheBlocks: 256,
	changeMs: 200,
	checksOrderNumbers: true,
	crashMarker: 'crash-engine',
	restartMs: 300,
	kvTransferMs: 1,
	eventDelayMs: 50,
	loseEveryNthEvent: 0,
	chooseFault: (): AnswerFault | undefined => undefined,
} as const satisfies EngineOptions;

/** Options after the defaults are applied. */
export type FullEngineOptions = Required<Omit<EngineOptions, 'address' | 'port'>> & Pick<EngineOptions, 'address' | 'port'>;

/** An entry of the engine's history. */
export type EngineEvent
	= | {
		readonly kind: 'request';
		readonly path: string;
		readonly headers: IncomingHttpHeaders;
		readonly body: string;
	}
	| {
		readonly kind: 'order-start';
		readonly order: EngineOrder;
		/** Whether another order was still running. */
		readonly overlapping: boolean;
		/** Number of requests that the order cut off. */
		readonly cutOff: number;
	}
	| {readonly kind: 'order-refused'; readonly order: EngineOrder; readonly lastOrder: number}
	| {readonly kind: 'order-end'; readonly order: EngineOrder}
	| {readonly kind: 'generate-end'; readonly requestId: string; readonly reason: string; readonly outputTokens: number}
	| {readonly kind: 'crash'; readonly cutOff: number}
	| {readonly kind: 'restart'};

export type EngineRecord = EngineEvent & RecordFields;
