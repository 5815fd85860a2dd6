/**
 * Options and history records of the stand-in engine.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {EngineOrder, EngineState} from '@hawthorncleat/schema';
import type {RecordFields} from '../history.js';

/** Ways in which an answer goes wrong. */
export type AnswerFault
	/** A line that is not JSON. */
	= | 'nonsense'
		/** The connection closes half way, without an end line. */
		| 'stop-halfway'
		/** Nothing more is sent after half of the answer, and the connection stays open. */
		| 'stall';

export type EngineOptions = {
	readonly address?: string;
	readonly port?: number;
	readonly role?: EngineState['role'];
	readonly model?: string;
	readonly version?: string;
	/** Duration of one batching step. */
	readonly stepMs?: number;
	readonly prefillTokensPerStep?: number;
	readonly maxRunning?: number;
	/** KV memory for running work, in tokens. */
	readonly kvTokens?: number;
	/** Prompt cache: tokens in a block and number of blocks kept. */
	readonly blockTokens?: number;
	readonly cacheBlocks?: number;
	/** How long an order makes the engine unavailable. */
	readonly changeMs?: number;
	/** Whether an order whose number is not higher than all before is refused. */
	readonly checksOrderNumbers?: boolean;
	/** A prompt that contains this text crashes the engine at its first step. */
	readonly crashMarker?: string;
	/** How long the engine stays down after a crash. */
	readonly restartMs?: number;
	/** Duration of fetching KV cache from another engine. */
	readonly kvTransferMs?: number;
	/** Delay of cache events. */
	readonly eventDelayMs?: number;
	/** Every nth cache event is lost; 0 loses none. */
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

/** Options with every default filled in. */
export type FullEngineOptions = Required<Omit<EngineOptions, 'address' | 'port'>> & Pick<EngineOptions, 'address' | 'port'>;

/** What the engine received and did. */
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
		/** Another order was still running. */
		readonly overlapping: boolean;
		/** Number of requests that the change ended. */
		readonly cutOff: number;
	}
	| {readonly kind: 'order-refused'; readonly order: EngineOrder; readonly lastOrder: number}
	| {readonly kind: 'order-end'; readonly order: EngineOrder}
	| {readonly kind: 'generate-end'; readonly requestId: string; readonly reason: string; readonly outputTokens: number}
	| {readonly kind: 'crash'; readonly cutOff: number}
	| {readonly kind: 'restart'};

export type EngineRecord = EngineEvent & RecordFields;
