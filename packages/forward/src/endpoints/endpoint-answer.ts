/**
 * Reads the head of an endpoint's answer, and passes on what the answer says of the endpoint itself. That applies to the process that the call was
 * meant for, so it is left out of answers that may be of another one.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {RequestId} from '@hawthorncleat/core';
import type {AnswerHead, WireFormat} from '../ports.js';
import type {PooledEndpoint} from './endpoint-pool.js';
import type {EndpointProcess} from './leaving-processes.js';

/** Receives what answers say of the endpoints themselves. */
export type AnswerListener = {
	/** The endpoint states for how long it wants no requests, or its statement cannot be read. */
	readonly onRetryAfter: (target: PooledEndpoint, head: AnswerHead) => void;
	/** The head tells whether the process names a limit of requests. */
	readonly onRateLimit: (call: AnsweredCall, head: AnswerHead) => void;
	/** The process has announced that it leaves. */
	readonly onLeaving: (process: EndpointProcess) => void;
	/** An announcement has a value that cannot be read. */
	readonly onDamagedLeaving: () => void;
};

export type AnswerReader = {readonly wire: Pick<WireFormat, 'readAnswer'>; readonly answerListener: AnswerListener};

/** A call that is being answered. `requestId` is absent for calls that are not requests of callers. */
export type AnsweredCall = {
	readonly target: PooledEndpoint;
	readonly requestId?: RequestId;
	/** When the call was begun. */
	readonly askedMs?: number;
};

/** A success without the id of its request may be of any request, and so of any process that has had the address. */
const firstStatusWithoutId = 300;

/**
 * Whether an answer bears the id of another request, like a second copy of an earlier answer that arrives on a connection in use again. It says nothing
 * of this request, not even that it was refused, and its connection cannot be used any more.
 */
const isAnswerToOther = (head: AnswerHead, requestId: RequestId | undefined): boolean => head.requestId !== undefined && head.requestId !== requestId;

/** Whether the answer is certainly of the process that the call was meant for. A wrong address and a wrong role are refused in the same way. */
const isFromTarget = (head: AnswerHead, {target, requestId}: AnsweredCall): boolean => {
	if (head.isFromOtherEndpoint) {
		return head.endpointId === target.endpoint.id;
	}

	return requestId === undefined || head.requestId === requestId || head.status >= firstStatusWithoutId;
};

/** Reads the head of an answer. Returns undefined if it belongs to another request. */
export const readEndpointAnswer = ({wire, answerListener}: AnswerReader, call: AnsweredCall, status: number, headers: IncomingHttpHeaders): AnswerHead | undefined => {
	const head = wire.readAnswer(status, headers);
	if (isAnswerToOther(head, call.requestId)) {
		return undefined;
	}

	if (head.retryAfterMs !== undefined || head.invalidRetryAfter !== undefined) {
		answerListener.onRetryAfter(call.target, head);
	}

	if (head.isLeavingDamaged) {
		answerListener.onDamagedLeaving();
	}

	if (isFromTarget(head, call)) {
		answerListener.onRateLimit(call, head);
		if (head.isEndpointLeaving) {
			const {id, startedAt} = call.target.endpoint;
			answerListener.onLeaving({id, startedAt});
		}
	}

	return head;
};
