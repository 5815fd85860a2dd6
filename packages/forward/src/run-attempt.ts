/**
 * Runs one attempt of a request at the selected endpoints: first the prefill at a separate engine if there is one, then the
 * request itself, whose answer is relayed to the caller. Also records the load and the measured latencies of the engines.
 */
import {
	engineLoad, lowestPriorityLevel, type RequestArrivals, type TrackedPrefill,
} from '@hawthorncleat/core';
import {startEndpointExchange} from './endpoint-exchange.js';
import {
	createEndpointCall, createSendDetails, classifyFailure, isAnswerToRequest, minServerErrorStatus,
} from './attempt-helpers.js';
import type {CallerExchange} from './caller-exchange.js';
import type {PooledEndpoint} from './endpoint-pool.js';
import type {
	AdmittedRequest, AttemptResult, AttemptState, ForwardDeps,
} from './forward-types.js';
import {answerTooLongError, AnswerBuffer, maxBufferedAnswerBytes} from './answer-buffer.js';
import type {Placement} from './placement.js';
import type {AnswerHead, KvHandle} from './ports.js';
import {releaseKvHandle, runPrefill, type PrefillResult} from './prefill.js';
import {relayBufferedAnswer} from './relay-buffered-answer.js';
import {StreamProgress} from './stream-progress.js';
import type {StreamRelay} from './stream-relay.js';

/** A request of a plain service takes up a slot, but no KV cache. */
const plainRequestSize = {tokens: 0, isLate: false};

type StreamSource = {
	readonly target: PooledEndpoint;
	readonly isLast: boolean;
	/** Expected time until the first token. */
	readonly expectedMs: number;
	readonly level: number | undefined;
	readonly kvSource?: KvHandle;
	readonly onFirstEvent: () => void;
	/** Called with the number of complete events that arrived together. */
	readonly onEvents: (events: number) => void;
};

/**
 * Records the length of a stream and its time per output token. A truncated stream counts for the time per output token as
 * well: at a saturated engine only short answers end in time, and their latency alone would be misleading.
 */
const recordStream = (
	deps: ForwardDeps,
	{request: {guessedTokens}, route, service}: AdmittedRequest,
	{target, progress, isWhole}: {target: PooledEndpoint; progress: StreamProgress; isWhole: boolean},
): void => {
	const tokensPerEvent = deps.load.tokensPerEvent(service.name);
	if (isWhole) {
		tokensPerEvent.recordStream(guessedTokens, progress.eventCount);
	}

	if (progress.eventCount === 0 || !tokensPerEvent.hasEnoughSamples) {
		return;
	}

	const {eventCount: events, laterEventCount, laterEventsMs: tookMs, meanLoad} = progress;
	const answerTokens = tokensPerEvent.estimateTokens(events);
	if (isWhole) {
		deps.load.longAnswerLoadLimit(service.name).recordCompleted({kind: route.name, guessedTokens, tokens: answerTokens});
	}

	target.decodeLatency.observe({
		tookMs, tokens: tokensPerEvent.estimateTokens(laterEventCount), answerTokens, load: Math.min(1, meanLoad),
	});
};

const relayStream = async (deps: ForwardDeps, admitted: AdmittedRequest, source: StreamSource, relay: StreamRelay): Promise<AttemptResult> => {
	const {
		target, isLast, level, expectedMs, kvSource, onFirstEvent, onEvents,
	} = source;
	const details = {...createSendDetails(admitted, target, level), kvSource, lastEventId: relay.lastEventId};
	const stallLimit = relay.createStallLimit(admitted, {mayMove: !isLast, expectedMs});
	const onStall = (): void => {
		if (!isLast && admitted.route.isResumable) {
			stallLimit.expire();
		}
	};

	let head: AnswerHead | undefined;
	let isValid = false;
	const errorBody = new AnswerBuffer(maxBufferedAnswerBytes);
	const endpointExchange = startEndpointExchange(target.connections, createEndpointCall(deps, admitted, details), {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			isValid = isAnswerToRequest(head, admitted);
			stallLimit.restart();
			target.stallDetector.recordBytes();
			return isValid || head.isNotRun || head.isFromOtherEndpoint;
		},
		onData(chunk) {
			stallLimit.restart();
			target.stallDetector.recordBytes();
			if (!isValid || head!.status !== 200) {
				if (!errorBody.append(chunk)) {
					endpointExchange.abort(answerTooLongError);
				}

				return true;
			}

			const {eventCount: eventsBefore, hasEventIds: hadEventIds} = relay;
			const mayContinue = relay.push(head!, chunk);
			if (relay.isEventTooLong) {
				endpointExchange.abort(answerTooLongError);
			}

			if (!hadEventIds && relay.hasEventIds) {
				onFirstEvent();
			}

			target.stallDetector.startStream(onStall, admitted.route.maxGapMs);
			onEvents(relay.eventCount - eventsBefore);
			return mayContinue;
		},
	}, stallLimit.signal);
	target.stallDetector.addWaiting(onStall);
	relay.onDrain(() => {
		endpointExchange.resume();
	});
	const end = await endpointExchange.ended;
	stallLimit.clear();
	target.stallDetector.remove(onStall);
	if (end.kind === 'complete' && head && isValid && !head.isNotRun && !head.isFromOtherEndpoint) {
		return finishStream({head, errorBody, target}, admitted, relay);
	}

	relay.discardPartialEvent();
	return classifyFailure(end, head, {failedAt: target, hasTimedOut: stallLimit.isExpired});
};

const finishStream = (
	{head, errorBody, target}: {readonly head: AnswerHead; readonly errorBody: AnswerBuffer; readonly target: PooledEndpoint},
	{exchange}: AdmittedRequest,
	relay: StreamRelay,
): AttemptResult => {
	const {status, headers} = head;
	if (status === 200) {
		relay.finish(head);
		return {kind: 'answered', status};
	}

	const bytes = errorBody.drain();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= minServerErrorStatus || exchange.hasSentHead) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, failedAt: target,
		};
	}

	send();
	return {kind: 'answered', status};
};

const runDecode = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	{placement: {target, isLast = true, decodeLevel: level, prefill, uncachedTokens = 0, prefillWaitMs = 0, firstTokenMs = 0}, kvSource}: {placement: Placement; kvSource: KvHandle | undefined},
	relay: StreamRelay,
): Promise<AttemptResult> => {
	const {request, service, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const requestSize = {tokens: request.promptTokens + outputTokens, isLate: level === lowestPriorityLevel};
	const prefillWork: TrackedPrefill | undefined = !prefill && service.engine && level !== undefined
		? deps.load.startPrefill(target, {
			level, tokens: uncachedTokens, outputTokens, segments: request.segments,
		})
		: undefined;
	let firstEventMs: number | undefined;
	const onFirstEvent = (): void => {
		firstEventMs = deps.clock.nowMs() - startMs;
		deps.onRun(admitted);
		if (prefillWork) {
			deps.load.endPrefill(target, prefillWork);
			target.prefillLatency.observe({expectedMs: prefillWaitMs, ownMs: target.prefillLatency.prefillMs(uncachedTokens), tookMs: firstEventMs});
		}
	};

	if (prefill) {
		target.segmentCache.add(request.segments);
	}

	deps.load.startRequest(target, requestSize);
	const currentLoad = (): number => engineLoad({
		running: target.running, tokens: target.runningTokens, slots: target.endpoint.slots, kvTokens: service.engine?.kvTokens ?? 0,
	});
	const isResumed = relay.lastEventId !== undefined;
	const progress = new StreamProgress();
	const result = await relayStream(deps, admitted, {
		target,
		isLast,
		level,
		expectedMs: firstTokenMs,
		kvSource,
		onFirstEvent,
		onEvents(events) {
			progress.record({events, load: currentLoad(), atMs: deps.clock.nowMs()});
		},
	}, relay);
	deps.load.endRequest(target, requestSize);
	if (prefillWork && firstEventMs === undefined) {
		deps.load.endPrefill(target, prefillWork);
	}

	recordStream(deps, admitted, {target, progress, isWhole: result.kind === 'answered' && result.status === 200 && !isResumed});
	return {...result, firstMs: firstEventMs, stream: progress.view};
};

/** Counts a call, unless none of it was sent. */
const recordArrival = (arrivals: RequestArrivals, result: AttemptResult | PrefillResult): void => {
	if (result.kind !== 'failed' || result.failure !== 'not-connected') {
		arrivals.record({isPrefilled: result.kind === 'prefilled'});
	}
};

/** Whether the prefill engine certainly still holds the KV cache. An engine that refused for another reason may have tried to fetch it. */
const isKvCacheIntact = (result: AttemptResult): boolean => result.kind === 'failed' && (result.failure === 'not-connected' || result.isMisdirected === true);

/** Runs one attempt; `state.prefilled` is then the KV cache that it left at the prefill engine, if any. */
export const runAttempt = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: Placement,
	state: AttemptState,
): Promise<AttemptResult> => {
	const {target, prefill} = placement;
	const {relay, arrivals} = state;
	if (!relay) {
		deps.load.startRequest(target, plainRequestSize);
		const result = await relayBufferedAnswer(deps, admitted, placement);
		deps.load.endRequest(target, plainRequestSize);
		recordArrival(arrivals, result);
		if (result.kind === 'answered' || !(result.failure === 'refused' || result.failure === 'not-connected')) {
			deps.onRun(admitted);
		}

		return result;
	}

	let {kvSource} = placement;
	let prefillMs: number | undefined;
	if (prefill && !kvSource) {
		const startMs = deps.clock.nowMs();
		const prefilled = await runPrefill(deps, admitted, {...placement, prefill});
		recordArrival(arrivals, prefilled);
		if (prefilled.kind === 'failed') {
			return prefilled;
		}

		kvSource = prefilled.handle;
		prefillMs = deps.clock.nowMs() - startMs;
	}

	const result = await runDecode(deps, admitted, {placement, kvSource}, relay);
	recordArrival(arrivals, result);
	state.prefilled = prefill && kvSource && isKvCacheIntact(result) ? {engine: prefill, handle: kvSource} : undefined;
	if (prefill && kvSource && !state.prefilled && result.kind === 'failed' && result.failure === 'refused') {
		releaseKvHandle(deps, prefill, kvSource);
	}

	return result.kind === 'answered' ? {...result, prefillMs} : result;
};
