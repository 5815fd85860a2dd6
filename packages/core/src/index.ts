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
	type SegmentKey,
	type SoftwareVersion,
	type StoreGeneration,
	type WindowId,
} from './ids.js';
export type {ConfigView, ResolvedKey, ResolvedRoute} from './config/view.js';
export {
	attestationValidityMs, FreshnessTracker, readValidityMs, type FreshnessProof, type FreshnessProofBasis, type FreshnessTrackerOptions,
} from './freshness.js';
export {
	announcementTimeoutMs, Witness, witnessSettleMs, type AnnouncementReply, type WitnessOptions,
} from './witness.js';
export {
	combineFreshnessAnswers, createWitnessGroups, findOwnGroup, hasWitness, isMajority, witnessIds, type WitnessGroup, type WitnessGroupInput,
} from './witness-groups.js';
export {groupBy} from './group-by.js';
export {getOrCreate} from './get-or-create.js';
export {WitnessGroupTracker} from './witness-group-tracker.js';
export {
	announceWindowMs, dutyAnnouncementRetentionMs, dutyGroupView, DutyWitness, blocksEveryMajority, type DutyEpoch, type DutyWitnessOptions,
} from './duty-witness.js';
export {
	attestIntervalMs, isTakeoverAnnounced, OutageAuthority, RecentWitnessGroups, takeoverWaitMs,
} from './outage-authority.js';
export {
	LeaseHolder,
	defaultLeaseDurations,
	firstEpochOf,
	firstGeneration,
	generationOfEpoch,
	leaseEpochKey,
	leaseKey,
	LeaseTaker,
	nextEpoch,
	parseLeaseRow,
	type LeaseDurations,
	type LeaseObservation,
	type LeaseRow,
} from './lease.js';
export {
	claimBatchMs,
	claimKey,
	claimWaitMs,
	completeClaimRow,
	completionBatchMs,
	findBatch,
	classifyClaimRow,
	maxBatchRows,
	maxRecordedAnswerBytes,
	readClaimRow,
	releaseClaimRow,
	type ActionAnswer,
	type ClaimRequest,
	type ClaimResult,
	type ClaimRow,
} from './claims.js';
export {createConfigView, type AdvancingView} from './config/create-view.js';
export {checkChange, type ChangeCheck, type CheckScope} from './config/check-change.js';
export type {ConfigFinding} from './config/findings.js';
export {hashKey, objectKey, touchedObjects} from './config/objects.js';
export {
	diffSnapshots, emptySnapshot, overlappingObjects,
} from './config/delta.js';
export {
	createActiveConfig, type ConfigUpdate, type ActiveConfig, type ActiveConfigListener,
} from './config/active-config.js';
export {
	describeSettings,
	formatSettingFinding,
	readSettings,
	environmentVariableOf,
	type SettingDescription,
	type SettingFinding,
	type SettingsByKind,
	type SettingsKind,
	type SettingSources,
	type SettingsResult,
} from './settings.js';
export {createNameIndex, type NameIndex} from './config/names.js';
export {chooseByRendezvous} from './rendezvous.js';
export {namePrefixes, prefixCharacters, prefixName} from './prompt-prefix.js';
export {
	decideRetry, maxAttempts, RetryBudget, type FailureKind, type RetryDecision, type RetryState,
} from './retry.js';
export {SuspectRequests, type SuspectStatus} from './suspect-requests.js';
export {TokenBucket} from './rate-limit.js';
export {
	parseUsageObjectKey, UsageMeter, usageObjectKey, type PartState, type Usage, type UsageOwner, type UsagePart,
} from './usage.js';
export {
	countUsageParts,
	isWindowDue,
	lateCheckAgesInWindows,
	nextWindowStartMs,
	shardOfAccount,
	selectUncountedStates,
	sumFigures,
	usageGraceMs,
	usageShardCount,
	lateCheckWindowStarts,
	type UsageCount,
	type CountedParts,
	type UsagePartState,
} from './usage-ledger.js';
export {
	addRateSample,
	assumedPrefillChunkTokens,
	decideQueueing,
	estimateWork,
	initialRates,
	agentSlots,
	toEngineRates,
	type MeasuredRates,
	type QueueDecision,
	type QueueView,
	type RateSample,
	type WorkEstimate,
} from './queue-admission.js';
export {
	beginOrder,
	beginOutageOrder,
	decideOrderMessage,
	dropOrder,
	engineOrderKey,
	findLastOrder,
	finishOrder,
	initialOrderState,
	restoreOrderState,
	markSettled,
	markStarted,
	mayExecute,
	mayExecuteInOutage,
	maySendInOutage,
	mayResolveOrder,
	nextOrderNumber,
	orderNumbersPerEpoch,
	parseOrderRow,
	recordFinishedOrder,
	type IssuedOrder,
	type EngineOrderRow,
	type AgentOrderState,
	type EngineRole as EngineOrderRole,
	type OrderConfirmation,
	type OrderDecision,
	type OrderedEngine,
} from './engine-orders.js';
export * from './policy/index.js';
export * from './forwarding/index.js';
