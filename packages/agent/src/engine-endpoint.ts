/**
 * A model engine as an agent's endpoint.
 */
import type {EngineOrderRole, MakeId} from '@hawthorncleat/core';
import type {Table} from '@hawthorncleat/store';
import type {Endpoint} from './endpoint.js';
import type {EngineClient} from './engine-client.js';
import {followCacheEvents} from './cache-events.js';
import {CachedPrefixes} from './cached-prefixes.js';
import {EngineMonitor} from './engine-monitor.js';
import {OrderExecutor} from './order-executor.js';
import {unavailable} from './refusals.js';
import {RequestRunner} from './request-runner.js';
import type {RequestRunnerOptions} from './request-runner-options.js';

export type EngineEndpointOptions = Omit<RequestRunnerOptions, 'isEngineGone' | 'mayStart' | 'notePrompt' | 'role'> & {
	readonly endpoint: string;
	readonly incarnation: string;
	readonly engine: EngineClient;
	readonly table: Table;
	readonly makeId: MakeId;
	readonly signal: AbortSignal;
	/** Called when entries must hear of a change before the next regular report. */
	readonly onReportDue: () => void;
	/** Looks for a pause of this process before work starts. */
	readonly checkPause: () => void;
};

/** Creates the endpoint of a model engine. */
export const createEngineEndpoint = (options: EngineEndpointOptions): Endpoint => {
	const {engine, log, metrics, signal, onReportDue} = options;
	const stopped = new AbortController();
	const closed = AbortSignal.any([signal, stopped.signal]);
	// An engine that restarts keeps its last known role until it answers.
	let role: EngineOrderRole = 'mixed';
	let wasUnavailable = true;
	// Entries learn at once that the engine takes no work, because each refused request uses up their retries.
	const reportAvailability = (): void => {
		const isUnavailable = problems().length > 0;
		if (isUnavailable !== wasUnavailable) {
			wasUnavailable = isUnavailable;
			onReportDue();
		}
	};

	const monitor: EngineMonitor = new EngineMonitor(engine, {
		onDown(isGone) {
			log.warn('engine does not answer', {isGone});
			if (isGone) {
				metrics.crashes.inc();
				runner.failAll();
			} else {
				runner.failWaiting();
			}

			reportAvailability();
		},
		onState(state, previous) {
			if (!previous) {
				log.info('engine answers', {role: state.role});
			}

			if (state.role !== role) {
				role = state.role;
				onReportDue();
			}

			reportAvailability();

			runner.pump();
		},
	});
	const prefixes = new CachedPrefixes();
	const runner: RequestRunner = new RequestRunner({
		...options,
		role: () => role,
		async isEngineGone() {
			await monitor.probe();
			return monitor.isGone;
		},
		mayStart() {
			options.checkPause();
			return monitor.state?.changing === false;
		},
		notePrompt(prompt) {
			prefixes.notePrompt(prompt);
		},
	});
	const orders = new OrderExecutor({
		...options,
		probe: async () => monitor.probe(),
		whenIdle: async () => runner.whenIdle(),
		onExecuting: reportAvailability,
	});
	const problems = (): string[] => [
		...(monitor.state ? [] : ['engine-unreachable']),
		...(monitor.state?.changing === true || orders.isExecuting ? ['engine-changing'] : []),
	];

	return {
		open() {
			monitor.start();
			void followCacheEvents(abort => engine.events(abort), prefixes, closed);
			void orders.initialise().catch((error: unknown) => {
				if (!signal.aborted) {
					log.error('engine orders cannot be initialised', {error: String(error)});
				}
			});
		},
		problems,
		load: prefixBytes => ({
			role,
			running: runner.scheduler.running.size,
			waiting: runner.scheduler.waitingCount,
			waitingTokens: runner.scheduler.waitingPromptTokens,
			freeTokens: monitor.state?.kvFreeTokens ?? 0,
			prefixes: prefixes.list(prefixBytes),
			maxRunning: options.limits.maxRunning,
			...(orders.orderedRole && {nextRole: orders.orderedRole}),
			...(problems().length > 0 && {unavailable: true}),
			...runner.scheduler.measuredRates,
		}),
		startRequest: (params, listener, kind) => runner.start(params, listener, kind),
		resumeRequest: (params, listener) => runner.resume(params, listener),
		cancelRequest(params) {
			runner.cancel(params);
		},
		checkAction() {/* An engine has no actions. */},
		async callService() {
			throw unavailable('no-endpoint', 'this endpoint is a model engine');
		},
		async receiveOrder(order, confirm) {
			const result = await orders.receive(order, confirm);
			metrics.orders.inc({result: result.state});
			return result;
		},
		dropWaiting() {
			runner.failWaiting('agent-paused');
		},
		detach(listener) {
			runner.detach(listener);
		},
		whenIdle: async () => runner.whenIdle(),
		isDelivered: () => runner.scheduler.isIdle && runner.isDelivered,
		async close() {
			stopped.abort();
			monitor.stop();
			runner.close();
			await engine.close();
		},
	};
};
