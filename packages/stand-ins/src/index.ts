export {
	startPlatform, type PlatformStandIn,
} from './platform/platform.js';
export type {PlatformEvent, PlatformOptions, PlatformRecord} from './platform/state.js';
export {startEngine, type EngineStandIn} from './engine/engine.js';
export type {
	AnswerFault, EngineEvent, EngineOptions, EngineRecord,
} from './engine/options.js';
export type {CacheEvent} from './engine/prefix-cache.js';
export {
	computeAnswerLength,
	computeExpectedAnswer,
	computePrefixBlocks,
	tokenize,
	type AnswerLength,
	type PrefixBlock,
} from './engine/tokens.js';
export {
	startPlainService,
	type PlainServiceOptions,
	type PlainServiceStandIn,
	type ServiceBehaviour,
	type ServiceCall,
	type ServiceEvent,
	type ServiceRecord,
} from './service/plain-service.js';
export {
	sendJson, startHttpServer, type Exchange, type Handler, type HttpRoute, type HttpServer,
} from './http-server.js';
export type {RecordFields} from './history.js';
export {ReturningStore, type ReturningStoreCopy} from './returning-store.js';
