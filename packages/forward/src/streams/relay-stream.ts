/**
 * Relays the stream of one attempt to the caller: only complete events, and only while no other attempt of the request has delivered first.
 */
import type {Buffer} from 'node:buffer';
import {softwareVersionOf, type RatePlace} from '@hawthorncleat/core';
import {answerTooLongError, AnswerBuffer, maxBufferedAnswerBytes} from '../utils/answer-buffer.js';
import {
	createEndpointCall, createRequestLimits, createSendDetails, createSuperseded, classifyFailure, isAnswerToRequest, minServerErrorStatus,
} from '../requests/attempt-helpers.js';
import type {AttemptControl} from '../requests/attempt-race.js';
import {readEndpointAnswer} from '../endpoints/endpoint-answer.js';
import {startEndpointExchange, type ExchangeEnd} from '../endpoints/endpoint-exchange.js';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {AdmittedRequest} from '../requests/admitted-request.js';
import type {AttemptResult} from '../requests/attempt-result.js';
import type {ForwardDeps} from '../requests/forward-deps.js';
import type {AnswerHead, KvHandle} from '../ports.js';
import {EventSplitter} from './event-splitter.js';
import {streamStallMs, type StreamRelay} from './stream-relay.js';
import {StreamWatch} from './stream-watch.js';

export type StreamSource = {
	readonly target: PooledEndpoint;
	/** Expected time until the first token. */
	readonly expectedMs: number;
	readonly level: number | undefined;
	readonly kvSource?: KvHandle;
	/** Called before the first event of this endpoint is relayed. */
	readonly onBegin: () => void;
	readonly onFirstEvent: () => void;
	/** Called with the number of complete events that arrived together. */
	readonly onEvents: (events: number) => void;
};

/** Another endpoint can continue only a resumable stream; the others take part in the stall detection of their endpoint. */
const createStreamWatch = ({target, expectedMs}: StreamSource, admitted: AdmittedRequest, control: AttemptControl): StreamWatch => {
	const {isResumable, maxGapMs} = admitted.route;
	return new StreamWatch(target.stallDetector, maxGapMs, isResumable
		? {
			stallMs: streamStallMs(admitted, expectedMs),
			onStall() {
				control.reportStall('run');
			},
		}
		: undefined);
};

const truncatedStreamError = new Error('the stream ended inside an event');

const isEventStream = ({status, headers}: AnswerHead): boolean => status === 200 && String(headers['content-type'] ?? '').startsWith('text/event-stream');

/** An answer may end with its connection, so a stream is truncated if its last event is incomplete. */
const checkStreamEnd = (end: ExchangeEnd, head: AnswerHead | undefined, {isInsideEvent}: EventSplitter): ExchangeEnd =>
	end.kind === 'complete' && head && isEventStream(head) && isInsideEvent ? {kind: 'broken', error: truncatedStreamError} : end;

export const relayStream = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	source: StreamSource,
	{relay, control, place}: {relay: StreamRelay; control: AttemptControl; place: RatePlace},
): Promise<AttemptResult> => {
	const {
		target, level, kvSource, onBegin, onFirstEvent, onEvents,
	} = source;
	const askedMs = deps.clock.nowMs();
	const details = {...createSendDetails(admitted, target, level), kvSource, lastEventId: relay.lastEventId};
	const watch = createStreamWatch(source, admitted, control);
	const splitter = new EventSplitter();
	let head: AnswerHead | undefined;
	let isValid = false;
	const errorBody = new AnswerBuffer(maxBufferedAnswerBytes);
	let hasRelayed = false;
	const relayEvents = (events: Buffer): boolean => {
		if (!control.claim()) {
			return true;
		}

		if (!hasRelayed) {
			hasRelayed = true;
			onBegin();
			relay.begin(softwareVersionOf(target.endpoint));
			relay.onDrain(() => {
				watch.resume();
				endpointExchange.resume();
			});
		}

		const hadEventIds = relay.hasEventIds;
		const mayContinue = relay.write(head!, events, splitter);
		if (!hadEventIds && relay.hasEventIds) {
			onFirstEvent();
		}

		return mayContinue;
	};

	const endpointExchange = startEndpointExchange(target.connections, createEndpointCall(deps, admitted, details), {
		onHead(status, headers) {
			const answer = readEndpointAnswer(deps, {target, requestId: admitted.request.id, askedMs}, status, headers);
			if (!answer) {
				return false;
			}

			head = answer;
			isValid = isAnswerToRequest(head, admitted);
			watch.recordProgress();
			// Two endpoints may not work on the rest of one stream, so the other attempt ends when this one has begun, and not with its first event.
			if (isValid && status === 200 && details.lastEventId !== undefined) {
				control.claim();
			}

			return isValid || head.isNotRun || head.isFromOtherEndpoint;
		},
		onData(chunk) {
			if (!isValid || head!.status !== 200) {
				if (!errorBody.append(chunk)) {
					endpointExchange.abort(answerTooLongError);
				}

				return true;
			}

			const eventsBefore = splitter.eventCount;
			const events = splitter.push(chunk);
			const mayContinue = events.length === 0 || relayEvents(events);
			if (splitter.isEventTooLong) {
				endpointExchange.abort(answerTooLongError);
			}

			onEvents(splitter.eventCount - eventsBefore);
			if (splitter.eventCount > eventsBefore) {
				watch.recordProgress();
				watch.start();
			}

			if (!mayContinue) {
				watch.pause();
			}

			return mayContinue;
		},
	}, createRequestLimits(deps, {target, place}, control.signal));
	void admitted.exchange.holdUntil(endpointExchange.released);
	const end = checkStreamEnd(await endpointExchange.ended, head, splitter);
	watch.end();
	if (control.isSuperseded) {
		return createSuperseded(end, head);
	}

	if (end.kind === 'complete' && head && isValid && !head.isNotRun && !head.isFromOtherEndpoint) {
		return finishStream({
			head, errorBody, target, lastBytes: splitter.flush(),
		}, admitted, {relay, control});
	}

	return classifyFailure(end, head, {failedAt: target});
};

type EndedStream = {readonly head: AnswerHead; readonly errorBody: AnswerBuffer; readonly target: PooledEndpoint; readonly lastBytes: Buffer};

const finishStream = (
	{head, errorBody, target, lastBytes}: EndedStream,
	{exchange}: AdmittedRequest,
	{relay, control}: {relay: StreamRelay; control: AttemptControl},
): AttemptResult => {
	const {status, headers} = head;
	if (status === 200) {
		control.claim();
		relay.finish(head, lastBytes);
		return {kind: 'answered', status};
	}

	const bytes = errorBody.drain();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= minServerErrorStatus || exchange.hasBegunAnswer) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, failedAt: target,
		};
	}

	control.claim();
	send();
	return {kind: 'answered', status};
};
