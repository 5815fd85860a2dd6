export {runForwardDaemon} from './daemon/forward-daemon.js';
export type {ForwardDaemonDeps} from './daemon/forward-components.js';
export {readAnswer} from './utils/read-answer.js';
export {createProgressLimit, withTimeLimit} from './utils/time-limit.js';
export {
	isAmount, isFields, isListOf, isText, parseJson, type Fields,
} from './utils/value-checks.js';
export {DecisionLog, type LineOutput, type LogEvent} from './telemetry/decision-log.js';
export type {
	Address,
	AnswerHead,
	CallerRequest,
	DutyCalls,
	EncodedCall,
	ForwardSettings,
	KvHandle,
	OutgoingHeaders,
	Platform,
	Refusal,
	RoleOrder,
	RowStore,
	SendDetails,
	StoreAnswer,
	StoreRow,
	StoreTable,
	UsageCounts,
	WireFormat,
} from './ports.js';
