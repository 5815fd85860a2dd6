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
export {FairQueue, type QueuedWork} from './fair-queue.js';
export {
	addSample,
	decideQueueing,
	estimateFirstTokenMs,
	estimateWork,
	initialRates,
	type EngineRates,
	type QueueDecision,
	type QueueView,
	type RateSample,
	type WorkEstimate,
} from './first-token.js';
export {
	beginOrder,
	decideMessage,
	engineOrderKey,
	finishOrder,
	initialOrders,
	learnRow,
	markSettled,
	markStarted,
	mayExecute,
	maySettle,
	parseOrderRow,
	type EngineOrderRow,
	type EngineOrders,
	type EngineRole,
	type OrderDecision,
} from './engine-orders.js';
