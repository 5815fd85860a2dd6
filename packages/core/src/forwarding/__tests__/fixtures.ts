import {brandAs, type EndpointId} from '../../ids.js';
import type {EndpointView} from '../endpoint-selection.js';
import type {EndpointRole, RegisteredEndpoint} from '../deployment.js';
import {DecodeLatencyModel} from '../decode-latency-model.js';
import {EndpointBackoff} from '../endpoint-backoff.js';
import {EndpointRateLimit} from '../endpoint-rate-limit.js';
import {OutlierEjection} from '../outlier-ejection.js';
import {PrefillLatencyModel} from '../prefill-latency-model.js';
import {SegmentCache} from '../segment-cache.js';
import {PrefillBacklog} from '../prefill-backlog.js';

export const createEndpoint = (id: string, changes: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint => ({
	id: brandAs<EndpointId>(id),
	service: 'models',
	address: '10.0.0.1',
	port: 1,
	dataCentre: 'a',
	slots: 10,
	isLeaving: false,
	startedAt: 1,
	heartbeat: 1,
	...changes,
});

export const createView = (id: string, role?: EndpointRole, changes: Partial<RegisteredEndpoint> = {}): EndpointView => ({
	endpoint: createEndpoint(id, {role, ...changes}),
	ejection: new OutlierEjection(),
	backoff: new EndpointBackoff(),
	rateLimit: new EndpointRateLimit({share: () => 1, phase: () => 0}),
	running: 0,
	lateRequests: 0,
	prefillBacklog: new PrefillBacklog(0),
	segmentCache: new SegmentCache(1_000_000),
	prefillLatency: new PrefillLatencyModel(role ?? 'decode'),
	decodeLatency: new DecodeLatencyModel(),
	roleChangeUntilMs: 0,
	runningTokens: 0,
});
