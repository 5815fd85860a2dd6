/**
 * JSON-RPC methods between the project's processes: the types of their parameters and results, and the validators of
 * received parameters.
 */
import {
	validators,
	type ConfigSinceParams,
	type ConfigSinceResult,
	type CrashSuspect,
	type DutyAnnounceParams,
	type DutyAnnounceResult,
	type DutyAttestParams,
	type DutyAttestResult,
	type EngineOrderParams,
	type EngineOrderResult,
	type FreshnessAnswer,
	type FreshnessAskParams,
	type HelloParams,
	type HelloResult,
	type LoadReport,
	type OrderConfirmParams,
	type OrderConfirmResult,
	type PublishAnnounceParams,
	type PublishAnnounceResult,
	type PublishFinishParams,
	type PublishFinishResult,
	type RequestCancel,
	type RequestFailed,
	type RequestFrame,
	type RequestResumeParams,
	type RequestStartParams,
	type RequestStartResult,
	type ServiceCallParams,
	type ServiceCallResult,
	type Validator,
} from '@hawthorncleat/schema';

/** Calls, which have a response. */
export type Calls = {
	hello: {params: HelloParams; result: HelloResult};
	'request.start': {params: RequestStartParams; result: RequestStartResult};
	/** The request's last frame has the reason `prefilled` and the handle of the KV cache. */
	'request.prefill': {params: RequestStartParams; result: RequestStartResult};
	'request.resume': {params: RequestResumeParams; result: {resumed: true}};
	'service.call': {params: ServiceCallParams; result: ServiceCallResult};
	'engine.order': {params: EngineOrderParams; result: EngineOrderResult};
	/** Sent before an order that was issued during a table outage is sent to the engine. */
	'order.confirm': {params: OrderConfirmParams; result: OrderConfirmResult};
	'config.since': {params: ConfigSinceParams; result: ConfigSinceResult};
	'freshness.ask': {params: FreshnessAskParams; result: FreshnessAnswer};
	'publish.announce': {params: PublishAnnounceParams; result: PublishAnnounceResult};
	'publish.finish': {params: PublishFinishParams; result: PublishFinishResult};
	'duty.announce': {params: DutyAnnounceParams; result: DutyAnnounceResult};
	'duty.attest': {params: DutyAttestParams; result: DutyAttestResult};
};

/** Notifications, which have no response. The notification `heartbeat` is handled by `Peer` itself. */
export type Notifications = {
	'request.frame': RequestFrame;
	'request.failed': RequestFailed;
	'request.cancel': RequestCancel;
	'load.report': LoadReport;
	'crash.suspect': CrashSuspect;
};

export type CallName = keyof Calls;
export type NotificationName = keyof Notifications;

/** Handlers of calls and notifications. A call without a handler gets the error "method not found". */
export type Handlers<Context> = {
	readonly [Name in CallName]?: (params: Calls[Name]['params'], context: Context) =>
		| Calls[Name]['result']
		| Promise<Calls[Name]['result']>;
} & {
	readonly [Name in NotificationName]?: (params: Notifications[Name], context: Context) => void;
};

/** Validators of received parameters, by method. */
export const paramsValidators: Readonly<Record<CallName | NotificationName | 'heartbeat', Validator>> = {
	hello: validators.validateHelloParams,
	heartbeat: validators.validateHeartbeat,
	'request.start': validators.validateRequestStartParams,
	'request.prefill': validators.validateRequestStartParams,
	'request.resume': validators.validateRequestResumeParams,
	'request.cancel': validators.validateRequestCancel,
	'request.frame': validators.validateRequestFrame,
	'request.failed': validators.validateRequestFailed,
	'service.call': validators.validateServiceCallParams,
	'engine.order': validators.validateEngineOrderParams,
	'order.confirm': validators.validateOrderConfirmParams,
	'config.since': validators.validateConfigSinceParams,
	'freshness.ask': validators.validateFreshnessAskParams,
	'publish.announce': validators.validatePublishAnnounceParams,
	'publish.finish': validators.validatePublishFinishParams,
	'duty.announce': validators.validateDutyAnnounceParams,
	'duty.attest': validators.validateDutyAttestParams,
	'load.report': validators.validateLoadReport,
	'crash.suspect': validators.validateCrashSuspect,
};
