export {
	AccountShares, divideCapacity, overShareRetryMs, type AccountDemand,
} from './account-shares.js';
export {FairQueue, type FairQueueOptions, type QueuedWork} from './fair-queue.js';
export {DemandMeter, type AnswerTokenCounts, type DemandMeterOptions} from './demand-meter.js';
export {
	defaultLatencyTarget, firstTokenLimitMs, meetsTarget, type AnswerTiming, type LatencyTarget,
} from './targets.js';
export {
	prefillChunkMs,
	decodeTokensPerSecond,
	estimateMsPerToken,
	estimatePrefillMs,
	estimatePrefillTokensPerMs,
	maxRunningWithinLatency,
	canMixedEngineServe,
	usableSlots,
	servesStage,
	type EngineRates,
	type EngineRole,
	type Stage,
	type TokenThroughput,
} from './engine-model.js';
export {
	LoadEstimator, type Dispatch, type EndpointInfo, type EndpointState, type LoadReading, type LoadEstimatorOptions,
} from './load-estimator.js';
export {
	chooseEndpoint, estimateUncachedTokens, scoreEndpoint, type EndpointChoice, type EndpointChoiceRequest, type PromptPrefix,
} from './choose-endpoint.js';
export {
	chooseService,
	ServiceLoadEstimator,
	type ServiceEndpoint,
	type ServiceReading,
	type ServiceState,
	type ServiceLoadOptions,
} from './choose-service.js';
export {
	admit, type Admission, type AdmissionRequest, type AdmissionEndpoints,
} from './admission.js';
export {
	countRoles, coversBothStages, estimateEngineSeconds, enginesNeeded, scaleRoles, servableFraction, sumRoles, type CapacityModel, type RoleCounts, type TokenDemand,
} from './role-capacity.js';
export {
	defaultRolePlanOptions,
	planRoles,
	type PlannedEngine,
	type RoleChange,
	type RolePlan,
	type RolePlanInput,
	type RolePlanMemory,
	type RolePlanOptions,
} from './plan-roles.js';
export {
	defaultEndpointPlanOptions,
	planEndpoints,
	type DataCentreSupply,
	type PlannedEndpointOrder,
	type EndpointPlan,
	type EndpointPlanInput,
	type EndpointPlanMemory,
	type EndpointPlanOptions,
} from './plan-endpoints.js';
