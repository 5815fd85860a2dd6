/**
 * A small entry for the tests of the agent.
 */
import {performance} from 'node:perf_hooks';
import type {
	ActionMessage,
	ActionRef,
	CrashSuspect,
	LoadReport,
	OrderConfirmParams,
	OrderConfirmResult,
	RequestFailed,
	RequestFrame,
	RequestStartParams,
} from '@hawthorncleat/schema';
import {dial, type Peer} from '@hawthorncleat/wire';

export const clock = {nowMs: () => performance.now()};
export const traceparent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

/** A connection of an entry with everything that arrived on it. */
export class FakeEntry {
	readonly frames: RequestFrame[] = [];
	readonly failures: RequestFailed[] = [];
	readonly reports: LoadReport[] = [];
	readonly suspects: CrashSuspect[] = [];
	/** Questions about orders of a table outage. */
	readonly questions: OrderConfirmParams[] = [];
	incarnation = '';
	connection = 0;
	peer!: Peer;
	/** What the planner answers to a question. */
	confirm: () => OrderConfirmResult | Promise<OrderConfirmResult>;
	#lastActionNumber = 0;

	constructor() {
		this.confirm = () => ({confirmed: true, validForMs: 2000});
	}

	async connect(port: number, signal: AbortSignal): Promise<this> {
		const handlers = {
			'request.frame': (frame: RequestFrame) => {
				this.frames.push(frame);
			},
			'request.failed': (failed: RequestFailed) => {
				this.failures.push(failed);
			},
			'load.report': (report: LoadReport) => {
				this.reports.push(report);
			},
			'order.confirm': async (question: OrderConfirmParams) => {
				this.questions.push(question);
				return this.confirm();
			},
			'crash.suspect': (suspect: CrashSuspect) => {
				this.suspects.push(suspect);
			},
		};
		this.peer = await dial({
			address: '127.0.0.1', port, clock, handlers, heartbeat: () => ({configVersion: 0, leaving: false}),
		}, signal);
		const hello = await this.peer.call('hello', {
			protocol: 1, role: 'entry', id: 'entry-1', dataCentre: 'dc-1', configVersion: 0,
		});
		this.incarnation = hello.incarnation;
		this.connection = hello.connection!;
		return this;
	}

	/** Gives an action the next number on this connection; a message that has a number keeps it. */
	addressAction(action: ActionRef | ActionMessage): ActionMessage {
		if ('number' in action) {
			return action;
		}

		this.#lastActionNumber += 1;
		return {...action, connection: this.connection, number: this.#lastActionNumber};
	}

	async start(requestId: string, changes: Partial<RequestStartParams> = {}): Promise<unknown> {
		return this.peer.call('request.start', {
			requestId,
			attempt: 1,
			incarnation: this.incarnation,
			clientAccount: 'account-1',
			weight: 1,
			priority: 0,
			model: 'model-1',
			prompt: 'two words',
			maxTokens: 3,
			delivered: [],
			firstTokenInMs: 10_000,
			fingerprint: `fingerprint-${requestId}`,
			traceparent,
			...changes,
		});
	}

	tokens(requestId: string): string[] {
		return this.frames.filter(frame => frame.requestId === requestId).flatMap(frame => frame.tokens);
	}

	hasEnd(requestId: string): boolean {
		return this.frames.some(frame => frame.requestId === requestId && frame.end);
	}
}
