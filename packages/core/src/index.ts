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
export {FairQueue as PolicyFairQueue, type FairQueueItem as PolicyFairQueueItem} from './policy/fair-queue.js';
export * from './policy/index.js';
