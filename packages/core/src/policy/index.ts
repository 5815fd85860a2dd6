export {
	AccountShares, divideCapacity, heldBackRetryMs, type AccountDemand,
} from './account-shares.js';
export {FairQueue, type FairQueueOptions, type QueuedWork} from './fair-queue.js';
export {DemandMeter, type AnswerCounts, type DemandMeterOptions} from './demand-meter.js';
export {
	defaultTarget, firstTokenLimitMs, isOnTime, type AnswerTimes, type ServiceTarget,
} from './targets.js';
export {
	chunkMs,
	decodeTokensPerSecond,
	estimatePaceMs,
	estimatePrefillMs,
	estimatePrefillRate,
	maxRunningAtPace,
	mixedCanServe,
	placesAtPace,
	serves,
	type EngineRates,
	type EngineRole,
	type Stage,
	type TokenRates,
} from './engine-model.js';
export {
	LoadView, type Dispatch, type EndpointInfo, type EndpointState, type LoadReading, type LoadViewOptions,
} from './load-view.js';
export {
	chooseEndpoint, estimateUncachedTokens, scoreEndpoint, type Choice, type ChoiceRequest, type PromptPrefix,
} from './choose-endpoint.js';
export {
	chooseService,
	ServiceView,
	type ServiceEndpoint,
	type ServiceReading,
	type ServiceState,
	type ServiceViewOptions,
} from './choose-service.js';
export {
	admit, type Admission, type AdmissionRequest, type AdmissionView,
} from './admission.js';
export {
	countRoles, coversBothStages, engineSeconds, enginesNeeded, scaleRoles, servablePart, sumRoles, type CapacityModel, type RoleCounts, type TokenDemand,
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
	type EndpointOrderPlan,
	type EndpointPlan,
	type EndpointPlanInput,
	type EndpointPlanMemory,
	type EndpointPlanOptions,
} from './plan-endpoints.js';
