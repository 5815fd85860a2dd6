export {
	BaseError, createRequestError, isRequestError, type Ran, type RequestError, type RequestErrorDetails,
} from './errors.js';
export type {Clock, Random} from './clock.js';
export {
	brandAs,
	type ActionId,
	type AgentId,
	type Branded,
	type ClaimId,
	type ClientAccountName,
	type ConfigVersion,
	type EndpointId,
	type EntryId,
	type Fingerprint,
	type HostId,
	type Incarnation,
	type KeyHash,
	type LeaseEpoch,
	type MakeId,
	type OrderNumber,
	type RequestId,
	type WindowId,
} from './ids.js';
export type {ConfigView, ResolvedKey, ResolvedRoute} from './config/view.js';
export {chooseByRendezvous} from './rendezvous.js';
export {
	decideRetry, maxAttempts, RetryBudget, type FailureKind, type RetryDecision, type RetryState,
} from './retry.js';
export {CrashSuspects, type Suspicion} from './crash-suspects.js';
export {TokenBucket} from './rate-limit.js';
export {
	freezeWindow, UsageMeter, usagePartKey, type Usage, type UsageOwner, type UsagePart,
} from './usage.js';
