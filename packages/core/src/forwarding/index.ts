export type {
	CallerLimits,
	EndpointRole,
	EngineLimits,
	ForwardAccount,
	ForwardAccountLimit,
	ForwardConfig,
	ForwardRoute,
	ForwardService,
	PromptSegment,
	RegisteredEndpoint,
	RequestKind,
	WeightedService,
} from './deployment.js';
export {softwareVersionOf} from './deployment.js';
export {pickService, RouteTable} from './route-table.js';
export {PrefillLatencyModel, type PrefillSize} from './prefill-latency-model.js';
export {
	priorityLevelCount, PrefillBacklog, type LevelWork, type TrackedPrefill,
} from './prefill-backlog.js';
export {referenceLoad, DecodeLatencyModel, type ObservedStream} from './decode-latency-model.js';
export {TokensPerEvent} from './tokens-per-event.js';
export {LongAnswerLoadLimit} from './long-answer-load-limit.js';
export {LateRequestBudget} from './late-request-budget.js';
export {SplitRejections} from './split-rejections.js';
export {StallDetector, type StallListener} from './stall-detector.js';
export {SegmentCache} from './segment-cache.js';
export {ConnectionQueue, type ConnectionQueueOptions, type QueuedCall} from './connection-queue.js';
export {CrashingSegments, type SegmentQuarantine} from './crashing-segments.js';
export {type SegmentCrash} from './segment-crashes.js';
export {type EntryPosition} from './trial-turns.js';
export {QuarantinedRequests, retainedUntilMs, type RequestQuarantine} from './quarantined-requests.js';
export {RequestArrivals, type ArrivingCall, type PlannedAttempt} from './request-arrivals.js';
export {
	RetryWindow, type RetryLimits, type RetryReservation, type RetryWindowOptions, type RetryWindowState,
} from './retry-window.js';
export {TokenWindow, type TokenRate} from './token-window.js';
export {
	balanceRoles, maxRoleChanges, type RoleBalance, type RoleBalanceState, type RoleDecision,
} from './balance-roles.js';
export {findNeededDecoders, findSpareDecoders, type VersionedEngine} from './version-roles.js';
export {pickRoleChange, type RoleCandidate} from './pick-role-change.js';
export {OutlierEjection} from './outlier-ejection.js';
export {
	EndpointRateLimit, RatePlace, type AnsweredStatement, type RateChange, type RateLimitOptions, type RateStatement,
} from './endpoint-rate-limit.js';
export {
	AccountLimit, type AccountLimitOptions, type AccountLimitState, type AccountRate, type FleetPart, type ToldSpending,
} from './account-limit.js';
export {
	RateShares, type RateSharesOptions, type ServiceDemand, type ToldDemand,
} from './rate-shares.js';
export {EndpointBackoff, maxBackoffMs, RetainedBackoffs} from './endpoint-backoff.js';
export {
	areMostReady, decideStop, type EntryPhase, type PeerPhase, type StopDecision, type StopLimits,
} from './stop-decision.js';
export {
	earliestReturnMs, engineLoad, selectEndpoint, type EndpointView,
} from './endpoint-selection.js';
export {
	selectEngines, type EngineSelection, type SelectionContext, type SelectionRequest,
} from './engine-selection.js';
export {choosePriorityLevel, lowestPriorityLevel, maxQueueMs} from './priority-level.js';
