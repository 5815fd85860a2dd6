/**
 * Runs one attempt of a request at the selected endpoints: first the prefill at a separate engine if there is one, then the
 * request itself, whose answer is relayed to the caller. Also records the load and the measured latencies of the engines.
 */
import {
	engineLoad, lowestPriorityLevel, RatePlace, type TrackedPrefill,
} from '@hawthorncleat/core';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {KvHandle} from '../ports.js';
import {relayStream} from '../streams/relay-stream.js';
import {StreamProgress} from '../streams/stream-progress.js';
import type {StreamRelay} from '../streams/stream-relay.js';
import type {AttemptControl} from './attempt-race.js';
import {isNotRunFailure} from './attempt-helpers.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptResult} from './attempt-result.js';
import type {ForwardDeps} from './forward-deps.js';
import type {AttemptState, RequestState} from './request-state.js';
import type {Placement} from './placement.js';
import {releaseKvHandle, runPrefill, type PrefillResult} from './prefill.js';
import {relayBufferedAnswer} from './relay-buffered-answer.js';
import {fitsStopAfterPrefill} from './stop-times.js';

/** A request of a plain service takes up a slot, but no KV cache. */
const plainRequestSize = {tokens: 0, isLate: false};

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

	deps.load.speeds.recordStream(target, {
		tookMs, tokens: tokensPerEvent.estimateTokens(laterEventCount), answerTokens, load: Math.min(1, meanLoad),
	});
};

/** What the run of a stream works with. */
type RunningStream = {readonly relay: StreamRelay; readonly control: AttemptControl; readonly place: RatePlace};

const runDecode = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	{placement: {target, decodeLevel: level, prefill, uncachedTokens = 0, prefillWaitMs = 0, firstTokenMs = 0}, kvSource}: {placement: Placement; kvSource: KvHandle | undefined},
	running: RunningStream,
): Promise<AttemptResult> => {
	const {relay} = running;
	const {request, service, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const requestSize = {tokens: request.promptTokens + outputTokens, isLate: level === lowestPriorityLevel};
	const size = {uncachedTokens, cachedTokens: Math.max(0, request.promptTokens - uncachedTokens)};
	const prefillWork: TrackedPrefill | undefined = !prefill && service.engine && level !== undefined
		? deps.load.startPrefill(target, {
			level, tokens: uncachedTokens, cachedTokens: size.cachedTokens, outputTokens, segments: request.segments,
		})
		: undefined;
	let beganMs: number | undefined;
	const onFirstEvent = (): void => {
		beganMs = deps.clock.nowMs();
		deps.onRun(admitted);
		if (prefillWork) {
			deps.load.completePrefill(target, prefillWork);
			deps.load.speeds.recordPrefill(target, {size, waitMs: prefillWaitMs, tookMs: beganMs - startMs});
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
		level,
		expectedMs: firstTokenMs,
		kvSource,
		onBegin() {
			deps.streams.recordBegun(admitted, target.endpoint);
		},
		onFirstEvent,
		onEvents(events) {
			progress.record({events, load: currentLoad(), atMs: deps.clock.nowMs()});
		},
	}, running);
	deps.load.endRequest(target, requestSize);
	if (prefillWork && beganMs === undefined) {
		deps.load.abandonPrefill(target, prefillWork);
	}

	recordStream(deps, admitted, {target, progress, isWhole: result.kind === 'answered' && result.status === 200 && !isResumed});
	return {
		...result, firstMs: beganMs === undefined ? undefined : beganMs - startMs, startedMs: startMs, beganMs, stream: progress.view,
	};
};

/** Counts a call, unless none of it was sent; then its place under the limit of the endpoint is free again. */
const recordArrival = (state: AttemptState, result: AttemptResult | PrefillResult, place: RatePlace): void => {
	const isUnsent = (result.kind === 'failed' && result.failure === 'not-connected') || (result.kind === 'superseded' && !result.wasSent);
	if (isUnsent) {
		place.release();
	} else if (state.request.arrivals.record({isPrefilled: result.kind === 'prefilled'})) {
		state.extraCalls += 1;
	}
};

/** Whether an endpoint may have run the request. */
const mayHaveRun = (result: AttemptResult): boolean => {
	if (result.kind === 'superseded') {
		return result.mayHaveRun;
	}

	return result.kind === 'answered' || !isNotRunFailure(result.failure);
};

/** Runs a request of a plain service. */
const runPlain = async (deps: ForwardDeps, admitted: AdmittedRequest, placement: Placement, {state, place}: {readonly state: AttemptState; readonly place: RatePlace}): Promise<AttemptResult> => {
	const {target} = placement;
	if (!state.control.startRun()) {
		place.release();
		return {kind: 'superseded', wasSent: false, mayHaveRun: false};
	}

	deps.load.startRequest(target, plainRequestSize);
	const result = await relayBufferedAnswer(deps, admitted, placement, {control: state.control, place});
	deps.load.endRequest(target, plainRequestSize);
	recordArrival(state, result, place);
	if (mayHaveRun(result)) {
		deps.onRun(admitted);
	}

	return result;
};

/** Whether the prefill engine certainly still holds the KV cache. An engine that refused for another reason may have tried to fetch it. */
const isKvCacheIntact = (result: AttemptResult): boolean => result.kind === 'failed' && (result.failure === 'not-connected' || result.isMisdirected === true);

type UsedKvCache = {readonly engine: PooledEndpoint; readonly handle: KvHandle; readonly result: AttemptResult};

/** Keeps the KV cache of a failed attempt for the next one, or frees it. */
const keepOrReleaseKvCache = (deps: ForwardDeps, request: RequestState, {engine, handle, result}: UsedKvCache): void => {
	if (isKvCacheIntact(result)) {
		if (request.prefilled) {
			releaseKvHandle(deps, request.prefilled.engine, request.prefilled.handle);
		}

		request.prefilled = {engine, handle};
	} else if (result.kind === 'superseded' || (result.kind === 'failed' && result.failure === 'refused')) {
		releaseKvHandle(deps, engine, handle);
	}
};

/** Sends the request to its target, unless other attempts have sent it to as many endpoints as may run it, or the target leaves meanwhile. */
const startRun = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	source: {placement: Placement; kvSource: KvHandle | undefined},
	running: RunningStream,
): Promise<AttemptResult> => {
	const {target} = source.placement;
	// Without this check the attempt would count among those that run, and end others whose prefill is in vain then.
	if (!deps.pool.maySend(target) || !running.place.confirm(deps.clock.nowMs())) {
		return {
			kind: 'failed', failure: 'not-connected', detail: 'the endpoint takes no new requests any more', failedAt: target, isWithdrawn: true,
		};
	}

	return running.control.startRun()
		? runDecode(deps, admitted, source, running)
		: {kind: 'superseded', wasSent: false, mayHaveRun: false};
};

/** Runs one attempt. Afterwards `prefilled` of its request is the KV cache that it left at the prefill engine, if any. */
export const runAttempt = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: Placement,
	state: AttemptState,
): Promise<AttemptResult> => {
	const {prefill} = placement;
	const {request, control} = state;
	const {relay} = request;
	// Both places are reserved at once: other requests are placed before this one has been prefilled.
	const place = new RatePlace(placement.target.rateLimit, deps.clock.nowMs());
	if (!relay) {
		return runPlain(deps, admitted, placement, {state, place});
	}

	let {kvSource} = placement;
	let prefillMs: number | undefined;
	if (prefill && !kvSource) {
		const startMs = deps.clock.nowMs();
		const prefillPlace = new RatePlace(prefill.rateLimit, startMs);
		const prefilled = await runPrefill(deps, admitted, {...placement, prefill}, {control, place: prefillPlace});
		recordArrival(state, prefilled, prefillPlace);
		if (prefilled.kind !== 'prefilled') {
			place.release();
			return prefilled;
		}

		kvSource = prefilled.handle;
		prefillMs = deps.clock.nowMs() - startMs;
		if (admitted.exchange.isBuffered && !fitsStopAfterPrefill(admitted, placement, deps.stop)) {
			admitted.exchange.endForStop();
		}
	}

	const result = await startRun(deps, admitted, {placement, kvSource}, {relay, control, place});
	recordArrival(state, result, place);
	if (prefill && kvSource) {
		keepOrReleaseKvCache(deps, request, {engine: prefill, handle: kvSource, result});
	}

	return result.kind === 'answered' ? {...result, prefillMs} : result;
};
