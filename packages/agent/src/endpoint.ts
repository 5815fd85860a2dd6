/**
 * What an agent needs from its endpoint, whichever kind it is. An engine and a plain service each implement it.
 */
import type {
	ActionRef,
	EngineOrderParams,
	EngineOrderResult,
	RequestCancel,
	RequestResumeParams,
	RequestStartParams,
	RequestStartResult,
	ServiceCallParams,
	ServiceCallResult,
} from '@hawthorncleat/schema';
import type {FrameTarget, RequestKind} from './stream.js';
import type {ConfirmOrder} from './order-executor.js';
import type {LoadSnapshot} from './load-reporter.js';

/** The endpoint behind an agent. */
export type Endpoint = {
	/** Begins to talk to the endpoint; the slot port is held. */
	open(): void;
	/** Why the endpoint takes no work; empty when it does. */
	problems(): string[];
	/** Load now, with as many cached prefixes as fit into that many bytes. */
	load(prefixBytes: number): Omit<LoadSnapshot, 'leaving'>;
	startRequest(params: RequestStartParams, listener: FrameTarget, kind: RequestKind): RequestStartResult;
	resumeRequest(params: RequestResumeParams, listener: FrameTarget): {resumed: true};
	cancelRequest(params: RequestCancel): void;
	/** Refuses an action that was already received, whether or not the agent takes work now. */
	checkAction(action: ActionRef): void;
	callService(params: ServiceCallParams): Promise<ServiceCallResult>;
	/** `confirm` asks the planner on the connection that the order came on. */
	receiveOrder(order: EngineOrderParams, confirm: ConfirmOrder): Promise<EngineOrderResult>;
	detach(listener: FrameTarget): void;
	/** Gives back, as not run, the work that waits, because this process was paused. */
	dropWaiting(): void;
	/** Settles when all accepted work has ended. */
	whenIdle(): Promise<void>;
	/** Whether the entries that listen were sent everything. */
	isDelivered(): boolean;
	close(): Promise<void>;
};
