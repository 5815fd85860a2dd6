/**
 * Feeds the load view with what the entry hears from its agents, and applies the decisions on endpoint and admission to
 * model requests.
 */
import {
	admit,
	assumedPrefillChunkTokens,
	chooseEndpoint,
	defaultLatencyTarget,
	LoadEstimator,
	namePrefixes,
	usableSlots,
	prefixCharacters,
	servesStage,
	type EndpointChoice,
	type EndpointChoiceRequest,
	type Clock,
	type EndpointState,
	type EngineRates,
	type PromptPrefix,
	type Random,
} from '@hawthorncleat/core';
import type {LoadReport} from '@hawthorncleat/schema';
import {estimateTokens} from './completion-format.js';
import {distanceBetweenMs} from './distance.js';
import type {Endpoint} from './endpoint.js';

// Agents report their own queue, so that a report is only as old as its way here.
const reportLagMs = 10;
// Prefill rate that the allowance for long prompts is made for; used until an engine has shown its own.
const unmeasuredPrefillRate = 8000;
const unmeasuredStepMsPerRequest = 0.4;
const unmeasuredMaxRunning = 16;
/** Lengths at which a prompt is hashed. Each costs about a microsecond, and few prefixes are shared by many prompts. */
const maxPrefixLengths = 64;

/** What the choice knows of a model request. */
export type EngineRequest = {
	readonly prompt: string;
	readonly maxTokens: number;
	/** Output that requests with that limit had lately. */
	readonly expectedOutput: number;
	readonly isSuspect: boolean;
	/** Limit of the first token before the allowance for long prompts. */
	readonly firstTokenMs: number;
	readonly elapsedMs: number;
	/** Whether the request may be refused because it would be late. */
	readonly mayRefuse: boolean;
	/** Whether a prefill engine may compute the prompt for another engine. */
	readonly maySplit: boolean;
};

type PromptSize = Pick<EngineRequest, 'maxTokens' | 'prompt'>;

export type EngineChoiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly dataCentre: string;
	readonly liveEntries: () => number;
};

/** The chosen endpoint, or a refusal with the time after which to retry. */
export type EngineChoiceResult
	= | {readonly endpoint: Endpoint; readonly stage: 'prefill' | 'whole'}
		| {readonly retryAfterMs: number};

type Engine = {readonly view: LoadEstimator; rates: EngineRates; isMeasured: boolean; prefixes: readonly string[]};

const ratesOf = (report: LoadReport): EngineRates => ({
	prefillTokensPerSecond: report.prefillTokensPerSecond ?? unmeasuredPrefillRate,
	stepMs: report.stepMs ?? 0,
	stepMsPerRequest: report.stepMsPerRequest ?? unmeasuredStepMsPerRequest,
	chunkTokens: assumedPrefillChunkTokens,
	maxRunning: report.maxRunning ?? unmeasuredMaxRunning,
});

/** The lengths at which most engines have a prefix cached, in rising order. */
const commonLengths = (engines: readonly Engine[]): number[] => {
	const counts = new Map<number, number>();
	for (const characters of engines.flatMap(({prefixes}) => prefixes.map(name => prefixCharacters(name)))) {
		counts.set(characters, (counts.get(characters) ?? 0) + 1);
	}

	return [...counts]
		.toSorted(([, a], [, b]) => b - a)
		.slice(0, maxPrefixLengths)
		.map(([characters]) => characters)
		.toSorted((a, b) => a - b);
};

/**
 * The engines that may decode the request, with the requests that are known to run there: own dispatches are not multiplied,
 * since the others are only assumed, and a refusal rests on what is certain. Their measured step contains prompts.
 */
const decodersOf = ({endpoint}: EndpointChoice, states: readonly EndpointState[]): EndpointState[] => {
	const decoders = endpoint.role === 'prefill'
		? states.filter(({role, leaving}) => servesStage(role, 'decode') && !leaving)
		: [endpoint];
	return decoders.map(state => ({...state, running: state.observedRunning, waitingTokens: 0}));
};

/** Chooses engines for one entry. */
export class EngineChoice {
	readonly #options: EngineChoiceOptions;
	readonly #views = new Map<string, LoadEstimator>();
	readonly #engines = new Map<Endpoint, Engine>();

	constructor(options: EngineChoiceOptions) {
		this.#options = options;
	}

	/** Takes in a load report. */
	reported(endpoint: Endpoint, report: LoadReport): void {
		const engine = this.#engines.get(endpoint) ?? this.#add(endpoint, report);
		engine.rates = ratesOf(report);
		engine.isMeasured = report.prefillTokensPerSecond !== undefined;
		engine.prefixes = report.prefixes;
		engine.view.applyReport(endpoint.host.hostId, report, this.#options.clock.nowMs());
	}

	/** Takes in the queue length in an answer. */
	answered(endpoint: Endpoint, queuedTokens: number): void {
		this.#engines.get(endpoint)?.view.recordQueueLength(endpoint.host.hostId, queuedTokens, this.#options.clock.nowMs());
	}

	/** Forgets an endpoint whose connection has ended. */
	removed(endpoint: Endpoint): void {
		this.#engines.get(endpoint)?.view.remove(endpoint.host.hostId);
		this.#engines.delete(endpoint);
	}

	/** Notes a dispatch and returns the function that notes its end. */
	dispatched(endpoint: Endpoint, {prompt, maxTokens}: PromptSize, stage: 'decode' | 'prefill' | 'whole'): () => void {
		const engine = this.#engines.get(endpoint);
		if (!engine) {
			return () => {/* Nothing was noted. */};
		}

		const {clock} = this.#options;
		const {hostId} = endpoint.host;
		const promptTokens = estimateTokens(prompt);
		const kvTokens = promptTokens + maxTokens;
		const state = engine.view.estimate(hostId, clock.nowMs());
		const prefixes = namePrefixes(prompt, commonLengths([engine]));
		const cached = Math.max(0, ...prefixes.map(name => (state?.holdsPrefix(name) ?? 0) * prefixCharacters(name)));
		const uncachedTokens = promptTokens * (1 - (cached / Math.max(1, prompt.length)));
		engine.view.recordDispatch(hostId, {
			prefillTokens: stage === 'decode' ? 0 : uncachedTokens,
			decodeRequests: stage === 'prefill' ? 0 : 1,
			kvTokens: stage === 'prefill' ? 0 : kvTokens,
			prefixes,
		}, clock.nowMs());
		return () => {
			if (stage !== 'prefill') {
				engine.view.recordDecodeEnd(hostId, kvTokens, clock.nowMs());
			}
		};
	}

	/** Chooses the engine that continues after a prefill engine. */
	chooseDecode(endpoints: readonly Endpoint[], request: EngineRequest): Endpoint | undefined {
		const usable = endpoints.filter(endpoint => !(request.isSuspect && endpoint.runningSuspects > 0));
		const {dataCentre, random} = this.#options;
		const decodeRequest = {...this.#describe(usable, request), stage: 'decode'} as const;
		const best = (isLocal: boolean): EndpointChoice | undefined => {
			const states = this.#statesOf(usable.filter(({host}) => (host.dataCentre === dataCentre) === isLocal));
			return chooseEndpoint(states, decodeRequest, random);
		};

		const choice = best(true) ?? best(false);
		return usable.find(({host}) => host.hostId === choice?.endpoint.id);
	}

	/** Chooses among endpoints of one service; undefined if none of them takes the request. */
	choose(endpoints: readonly Endpoint[], request: EngineRequest): EngineChoiceResult | undefined {
		const usable = endpoints.filter(endpoint => !(request.isSuspect && endpoint.runningSuspects > 0));
		const local = usable.filter(({host}) => host.dataCentre === this.#options.dataCentre);
		const first = this.#chooseAmong(local, request);
		if (first && 'endpoint' in first) {
			return first;
		}

		// Endpoints of other data centres are a fallback.
		const remote = usable.filter(endpoint => !local.includes(endpoint));
		return this.#chooseAmong(remote, request) ?? first;
	}

	#chooseAmong(endpoints: readonly Endpoint[], request: EngineRequest): EngineChoiceResult | undefined {
		const states = this.#statesOf(endpoints);
		const choice = this.#decide(states, this.#describe(endpoints, request), request.maySplit);
		if (!choice) {
			// An agent reports as soon as it is connected; until then nothing speaks against it.
			const silent = endpoints.find(endpoint => !this.#engines.has(endpoint));
			return silent && {endpoint: silent, stage: 'whole'};
		}

		const endpoint = endpoints.find(({host}) => host.hostId === choice.endpoint.id)!;
		const retryAfterMs = this.#refuse(endpoint, choice, states, request);
		const stage = choice.endpoint.role === 'prefill' ? 'prefill' : 'whole';
		return retryAfterMs === undefined ? {endpoint, stage} : {retryAfterMs};
	}

	#statesOf(endpoints: readonly Endpoint[]): EndpointState[] {
		const hostIds = new Set(endpoints.map(({host}) => host.hostId));
		const view = endpoints[0] && this.#views.get(endpoints[0].host.serves ?? '');
		return view?.estimateAll(this.#options.clock.nowMs()).filter(({id}) => hostIds.has(id)) ?? [];
	}

	/**
	 * The prompt goes to a mixed engine, which also answers, or to a prefill engine if another engine can continue. A decode
	 * engine, which computes the prompt itself, is the fallback.
	 */
	#decide(states: readonly EndpointState[], request: EndpointChoiceRequest, maySplit: boolean): EndpointChoice | undefined {
		const {random} = this.#options;
		const canContinue = states.some(({role, leaving}) => servesStage(role, 'decode') && !leaving);
		const first = states.filter(({role}) => role === 'mixed' || (role === 'prefill' && maySplit && canContinue));
		return chooseEndpoint(first, request, random)
			?? chooseEndpoint(states.filter(({role}) => role === 'decode'), {...request, stage: 'decode'}, random);
	}

	#describe(endpoints: readonly Endpoint[], {prompt, maxTokens}: EngineRequest): EndpointChoiceRequest {
		const engines = endpoints.map(endpoint => this.#engines.get(endpoint)).filter(engine => engine !== undefined);
		const promptTokens = estimateTokens(prompt);
		const toPrefix = (prefix: string): PromptPrefix => ({
			prefix, tokens: promptTokens * prefixCharacters(prefix) / Math.max(1, prompt.length),
		});
		return {
			stage: 'prefill',
			promptTokens,
			prefixes: namePrefixes(prompt, commonLengths(engines)).map(name => toPrefix(name)).toReversed(),
			excluded: new Set(),
			kvTokens: promptTokens + maxTokens,
		};
	}

	/**
	 * An engine with a free place and no queue takes any request, as its agent does, and an engine that has shown no rates
	 * leaves the decision to its agent.
	 */
	#refuse(endpoint: Endpoint, choice: EndpointChoice, states: readonly EndpointState[], request: EngineRequest): number | undefined {
		if (!request.mayRefuse || !this.#engines.get(endpoint)?.isMeasured) {
			return undefined;
		}

		const {endpoint: state, uncachedTokens} = choice;
		const target = {...defaultLatencyTarget, firstTokenMs: request.firstTokenMs};
		const decode = decodersOf(choice, states);
		const hasPlace = decode.some(({rates, running}) => running < usableSlots(rates, target.maxMsPerToken, false));
		if (state.waitingTokens === 0 && hasPlace) {
			return undefined;
		}

		const admission = admit({prefill: state, decode}, {
			target,
			promptTokens: estimateTokens(request.prompt),
			uncachedTokens,
			outputTokens: request.expectedOutput,
			elapsedMs: request.elapsedMs,
			canWaitForSlot: true,
		});
		return admission.accepted ? undefined : admission.retryAfterMs;
	}

	#add(endpoint: Endpoint, report: LoadReport): Engine {
		const view = this.#viewOf(endpoint.host.serves ?? '');
		const engine: Engine = {
			view, rates: ratesOf(report), isMeasured: false, prefixes: [],
		};
		const {hostId, dataCentre} = endpoint.host;
		view.add({
			id: hostId,
			dataCentre,
			distanceMs: distanceBetweenMs(dataCentre, this.#options.dataCentre),
			get rates() {
				return engine.rates;
			},
		});
		this.#engines.set(endpoint, engine);
		return engine;
	}

	#viewOf(service: string): LoadEstimator {
		const {liveEntries} = this.#options;
		const view = this.#views.get(service) ?? new LoadEstimator({
			reportLagMs,
			// The other entries see the same load and send about as much as this one.
			get entries() {
				return Math.max(1, liveEntries());
			},
		});
		this.#views.set(service, view);
		return view;
	}
}
