/**
 * Turns what is known of a request and the endpoints into the place where it runs.
 */
import {
	chooseModelPlace, choosePlainPlace, priorityLevels, type PlaceRequest,
} from '@hawthorncleat/core';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, ForwardDeps} from './forward-request.js';

/** Where a request runs. */
export type Placement = {
	readonly known: KnownEndpoint;
	/** Prefills the prompt first. */
	readonly prefill?: KnownEndpoint;
	/** Priority in the engine's queue. */
	readonly level?: number;
	/** Expected wait for the prefill. */
	readonly waitMs?: number;
	readonly uncachedTokens?: number;
	/** No further endpoint may run the request. */
	readonly isLast?: boolean;
};

/** Levels of the engine's queue between two priorities, for large prompts to stand behind small ones. */
const levelsPerPriority = 3;
/** Prompts of up to so many tokens go first within their priority. */
const smallPromptTokens = 4000;
const largePromptTokens = 16_000;

/** Position in an engine's queue. A large prompt must not hold up many small ones of the same priority. */
export const chooseLevel = (priority: number, uncachedTokens: number): number => {
	const size = Number(uncachedTokens > smallPromptTokens) + Number(uncachedTokens > largePromptTokens);
	return Math.max(0, Math.min(priorityLevels - 1, (priority * levelsPerPriority) + size));
};

export const placeRequest = (
	deps: ForwardDeps,
	{request, route, service, account}: AdmittedRequest,
	excluded: ReadonlySet<string>,
): Placement | undefined => {
	const views = deps.pool.ofService(service.name);
	const {clock, random, dataCentre} = deps;
	const nowMs = clock.nowMs();
	if (!service.engine) {
		const known = choosePlainPlace(views, {dataCentre, excluded}, {nowMs, random});
		return known && {known: known as KnownEndpoint};
	}

	const level = chooseLevel(account?.priority ?? route.priority, request.promptTokens);
	const place: PlaceRequest = {
		parts: request.parts,
		promptTokens: request.promptTokens,
		outputTokens: request.expectedOutputTokens ?? request.maxOutputTokens,
		level,
		dataCentre,
		excluded,
	};
	const chosen = chooseModelPlace(views, place, {nowMs, kvTokens: service.engine.kvTokens});
	return chosen && {
		known: chosen.decode as KnownEndpoint,
		prefill: chosen.prefill as KnownEndpoint | undefined,
		level,
		waitMs: chosen.waitMs,
		uncachedTokens: chosen.uncachedTokens,
	};
};
