export type {
	CallerLimits,
	EndpointRole,
	EngineLimits,
	ForwardAccount,
	ForwardConfig,
	ForwardRoute,
	ForwardService,
	PromptPart,
	RegisteredEndpoint,
	RequestKind,
	WeightedService,
} from './deployment.js';
export {pickService, RouteTable} from './route-table.js';
export {priorityLevels, PrefillBacklog, type TrackedWork} from './prefill-backlog.js';
export {PartCache} from './part-cache.js';
export {RetryWindow, type RetryWindowOptions} from './retry-window.js';
export {EndpointTrust} from './endpoint-trust.js';
export {
	chooseModelPlace,
	choosePlainPlace,
	type EndpointView,
	type ModelPlace,
	type PlaceContext,
	type PlaceRequest,
	type PrefillPace,
} from './choose-place.js';
