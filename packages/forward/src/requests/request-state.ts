/**
 * State that the attempts of one request share, and what one attempt works with.
 */
import type {RequestArrivals} from '@hawthorncleat/core';
import type {StreamRelay} from '../streams/stream-relay.js';
import type {AttemptControl} from './attempt-race.js';
import type {PrefilledPrompt} from './placement.js';

/** State shared by the attempts of one request. */
export type RequestState = {
	readonly relay: StreamRelay | undefined;
	readonly arrivals: RequestArrivals;
	/** KV cache that a failed attempt left at its prefill engine. */
	prefilled?: PrefilledPrompt;
};

/** What one attempt works with. */
export type AttemptState = {
	readonly request: RequestState;
	readonly control: AttemptControl;
	/** Calls of this attempt that loaded an endpoint once more for the same request. */
	extraCalls: number;
};
