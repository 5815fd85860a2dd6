/**
 * One attempt at the chosen place: the prefill at another engine if there is one, then the request itself, whose answer
 * is relayed to the caller.
 */
import {
	engineLoad, lateLevel, type RequestArrivals, type TrackedWork,
} from '@hawthorncleat/core';
import {startAttempt} from './attempt.js';
import {
	createCall, createDetails, describeFailure, isOwnAnswer, serverError,
} from './attempt-parts.js';
import type {CallerExchange} from './caller-exchange.js';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {
	AdmittedRequest, AttemptResult, AttemptState, ForwardDeps,
} from './forward-types.js';
import {answerTooLong, KeptAnswer, maxKeptAnswerBytes} from './kept-answer.js';
import type {Placement} from './placement.js';
import type {AnswerHead, KvHandle} from './ports.js';
import {releaseHandle, runPrefill, type PrefillResult} from './prefill.js';
import {relayWhole} from './relay-whole.js';
import {StreamCourse} from './stream-course.js';
import type {StreamRelay} from './stream-relay.js';

/** A request of a plain service takes a place and nothing else. */
const plainSize = {tokens: 0, isLate: false};

type StreamSource = {
	readonly known: KnownEndpoint;
	readonly isLast: boolean;
	readonly expectedMs: number;
	readonly level: number | undefined;
	readonly kvSource?: KvHandle;
	readonly onFirst: () => void;
	/** So many whole events have come. */
	readonly onEvents: (events: number) => void;
};

/**
 * Takes in how long a stream was and how fast it came. One that was broken off tells the pace as well; without those, the pace of a crowded
 * engine would be that of its short answers only.
 */
const learnFromStream = (
	deps: ForwardDeps,
	{request: {guessedTokens}, route, service}: AdmittedRequest,
	{known, course, isWhole}: {known: KnownEndpoint; course: StreamCourse; isWhole: boolean},
): void => {
	const sizes = deps.load.eventTokens(service.name);
	if (isWhole) {
		sizes.note(guessedTokens, course.events);
	}

	if (course.events === 0 || !sizes.isKnown) {
		return;
	}

	const {events, laterEvents, tookMs, meanLoad} = course;
	const answerTokens = sizes.tokensOf(events);
	if (isWhole) {
		deps.load.longAnswers(service.name).noteEnded({kind: route.name, guessedTokens, tokens: answerTokens});
	}

	known.decode.observe({
		tookMs, tokens: sizes.tokensOf(laterEvents), answerTokens, load: Math.min(1, meanLoad),
	});
};

const relayStream = async (deps: ForwardDeps, admitted: AdmittedRequest, source: StreamSource, relay: StreamRelay): Promise<AttemptResult> => {
	const {
		known, isLast, level, expectedMs, kvSource, onFirst, onEvents,
	} = source;
	const details = {...createDetails(admitted, known, level), kvSource, lastEventId: relay.lastId};
	const limit = relay.createSilenceLimit(admitted, {mayMove: !isLast, expectedMs});
	const onSilent = (): void => {
		if (!isLast && admitted.route.isResumable) {
			limit.expire();
		}
	};

	let head: AnswerHead | undefined;
	let isOwn = false;
	const errorBody = new KeptAnswer(maxKeptAnswerBytes);
	const attempt = startAttempt(known.connections, createCall(deps, admitted, details), {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			isOwn = isOwnAnswer(head, admitted);
			limit.restart();
			known.silence.heard();
			return isOwn || head.isNotRun || head.isFromOtherEndpoint;
		},
		onData(chunk) {
			limit.restart();
			known.silence.heard();
			if (!isOwn || head!.status !== 200) {
				if (!errorBody.push(chunk)) {
					attempt.reject(answerTooLong);
				}

				return true;
			}

			const {events: eventsBefore, hasEvents: hadEvents} = relay;
			const goesOn = relay.push(head!, chunk);
			if (relay.isEventTooLong) {
				attempt.reject(answerTooLong);
			}

			if (!hadEvents && relay.hasEvents) {
				onFirst();
			}

			known.silence.begin(onSilent, admitted.route.maxGapMs);
			onEvents(relay.events - eventsBefore);
			return goesOn;
		},
	}, limit.signal);
	known.silence.add(onSilent);
	relay.onDrain(() => {
		attempt.resume();
	});
	const end = await attempt.ended;
	limit.clear();
	known.silence.remove(onSilent);
	if (end.kind === 'complete' && head && isOwn && !head.isNotRun && !head.isFromOtherEndpoint) {
		return finishStream({head, errorBody, known}, admitted, relay);
	}

	relay.breakOff();
	return describeFailure(end, head, {at: known, isLate: limit.isOver});
};

const finishStream = (
	{head, errorBody, known}: {readonly head: AnswerHead; readonly errorBody: KeptAnswer; readonly known: KnownEndpoint},
	{exchange}: AdmittedRequest,
	relay: StreamRelay,
): AttemptResult => {
	const {status, headers} = head;
	if (status === 200) {
		relay.finish(head);
		return {kind: 'answered', status};
	}

	const bytes = errorBody.take();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= serverError || exchange.hasHead) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, at: known,
		};
	}

	send();
	return {kind: 'answered', status};
};

const runDecode = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	{placement: {known, isLast = true, decodeLevel: level, prefill, uncachedTokens = 0, waitMs = 0, expectedMs = 0}, kvSource}: {placement: Placement; kvSource: KvHandle | undefined},
	relay: StreamRelay,
): Promise<AttemptResult> => {
	const {request, service, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const size = {tokens: request.promptTokens + outputTokens, isLate: level === lateLevel};
	const work: TrackedWork | undefined = !prefill && service.engine && level !== undefined
		? deps.load.beginWork(known, {
			level, tokens: uncachedTokens, outputTokens, parts: request.segments,
		})
		: undefined;
	let firstMs: number | undefined;
	const onFirst = (): void => {
		firstMs = deps.clock.nowMs() - startMs;
		deps.onRun(admitted);
		if (work) {
			deps.load.endWork(known, work);
			known.pace.observe({expectedMs: waitMs, ownMs: known.pace.workMs(uncachedTokens), tookMs: firstMs});
		}
	};

	if (prefill) {
		known.parts.add(request.segments);
	}

	deps.load.begin(known, size);
	const loadOf = (): number => engineLoad({
		running: known.running, tokens: known.runningTokens, places: known.endpoint.places, kvTokens: service.engine?.kvTokens ?? 0,
	});
	const isResumed = relay.lastId !== undefined;
	const course = new StreamCourse();
	const result = await relayStream(deps, admitted, {
		known,
		isLast,
		level,
		expectedMs,
		kvSource,
		onFirst,
		onEvents(events) {
			course.note({events, load: loadOf(), atMs: deps.clock.nowMs()});
		},
	}, relay);
	deps.load.end(known, size);
	if (work && firstMs === undefined) {
		deps.load.endWork(known, work);
	}

	learnFromStream(deps, admitted, {known, course, isWhole: result.kind === 'answered' && result.status === 200 && !isResumed});
	return {...result, firstMs, stream: course.view};
};

/** Counts a call unless nothing of it was sent. */
const noteArrival = (arrivals: RequestArrivals, result: AttemptResult | PrefillResult): void => {
	if (result.kind !== 'failed' || result.failure !== 'not-connected') {
		arrivals.note({isPrefilled: result.kind === 'prefilled'});
	}
};

/** Whether the KV cache is surely still there. An engine that refuses for another reason may have tried to fetch it. */
const isUnfetched = (result: AttemptResult): boolean => result.kind === 'failed' && (result.failure === 'not-connected' || result.isMisdirected === true);

/** Runs one attempt. */
export const relayAnswer = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: Placement,
	state: AttemptState,
): Promise<AttemptResult> => {
	const {known, prefill} = placement;
	const {relay, arrivals} = state;
	if (!relay) {
		deps.load.begin(known, plainSize);
		const result = await relayWhole(deps, admitted, placement);
		deps.load.end(known, plainSize);
		noteArrival(arrivals, result);
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
		noteArrival(arrivals, prefilled);
		if (prefilled.kind === 'failed') {
			return prefilled;
		}

		kvSource = prefilled.handle;
		prefillMs = deps.clock.nowMs() - startMs;
	}

	const result = await runDecode(deps, admitted, {placement, kvSource}, relay);
	noteArrival(arrivals, result);
	state.prefilled = prefill && kvSource && isUnfetched(result) ? {at: prefill, handle: kvSource} : undefined;
	if (prefill && kvSource && !state.prefilled && result.kind === 'failed' && result.failure === 'refused') {
		releaseHandle(deps, prefill, kvSource);
	}

	return result.kind === 'answered' ? {...result, prefillMs} : result;
};
