export {
	startChild, type Child, type ChildExit, type ChildOptions,
} from './child.js';
export {
	createCaller, promptTag, type Caller, type CallerAnswer, type CallerOptions,
} from './caller.js';
export {Daemon, type DaemonPlan} from './daemon.js';
export {adminToken} from './daemon-plans.js';
export {
	createFleetConfig, fleetAccounts, fleetRegion, fleetServices, keyNameOf, keyOf, requestIdHeader, type FleetAccount,
} from './fleet-config.js';
export type {
	EndpointPlan, EntryPlan, FleetOptions, FleetPlan, FleetSettings,
} from './fleet-plan.js';
export {Fleet, startFleet, withFleet} from './fleet.js';
export {
	createHistory,
	joinHistories,
	type History,
	type HistoryEvent,
	type HistoryParts,
	type HistoryRecord,
	type RequestKind,
	type RunEvent,
	type RunRecord,
	type SentRequest,
} from './history.js';
export {abortAfter} from './abort-after.js';
export {startRelay, type LostBytes, type Relay} from './relay.js';
export {createSeededRandom, type SeededRandom} from './random.js';
export {
	checkHistory, describeViolations, type Rule, type Violation,
} from './rules/rule.js';
export {actionsRunOnce} from './rules/actions-run-once.js';
export {endpointOrdersOnce} from './rules/endpoint-orders-once.js';
export {engineOrdersRise} from './rules/engine-orders-rise.js';
export {listExecutions, type Execution} from './rules/executions.js';
export {
	inChargeNote, leasesExclude, listTenures, type InCharge, type Tenure,
} from './rules/leases-exclude.js';
export {refusalsAreTrue} from './rules/refusals-are-true.js';
export {
	injectFaults, type FaultOptions, type ProcessFault, type TableFault,
} from './faults.js';
export {runLoad, sendAllAgain, type LoadOptions} from './load.js';
export {expectNoViolations, summarize, type Summary} from './rules/expect.js';
export {createServiceOptions} from './service-behaviour.js';
export {usageWindowsOnce} from './rules/usage-windows-once.js';
