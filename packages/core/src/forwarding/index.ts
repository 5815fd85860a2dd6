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
export {EnginePace} from './engine-pace.js';
export {comparedLoad, DecodePace, type ObservedStream} from './decode-pace.js';
export {EventTokens} from './event-tokens.js';
export {LongAnswers} from './long-answers.js';
export {LateShare} from './late-share.js';
export {Refusals} from './refusals.js';
export {StreamSilence, type SilenceWatcher} from './stream-silence.js';
export {PartCache} from './part-cache.js';
export {RequestArrivals, type ArrivingCall, type PlannedAttempt} from './request-arrivals.js';
export {
	RetryWindow, type RetryLimits, type RetryReservation, type RetryWindowOptions,
} from './retry-window.js';
export {TokenWindow, type TokenRate} from './token-window.js';
export {
	balanceRoles, type RoleBalance, type RoleBalanceMemory, type RoleDecision,
} from './balance-roles.js';
export {pickRoleChange, type RoleCandidate} from './pick-role-change.js';
export {EndpointTrust} from './endpoint-trust.js';
export {choosePlainPlace, engineLoad, type EndpointView} from './choose-place.js';
export {
	chooseModelPlace, type ModelPlace, type PlaceContext, type PlaceRequest,
} from './choose-model-place.js';
export {chooseLevel, lateLevel, patienceMs} from './queue-level.js';
