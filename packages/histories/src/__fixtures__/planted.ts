/**
 * Short hand-written histories for the tests of the rules.
 */
import type {EngineEvent, PlatformEvent, ServiceEvent} from '@hawthorncleat/stand-ins';
import {requestIdHeader} from '../fleet-config.js';
import type {HistoryEvent, HistoryRecord, SentRequest} from '../history.js';

/** Numbers events in the order in which they are written, one millisecond apart. */
export const plant = (...events: readonly HistoryEvent[]): HistoryRecord[] =>
	events.map((event, index) => ({...event, sequence: index + 1, atMs: index + 1}));

/** Dates events in milliseconds, in the order in which they are written. */
export const plantAt = (...events: ReadonlyArray<readonly [number, HistoryEvent]>): HistoryRecord[] =>
	events.map(([atMs, event], index) => ({...event, sequence: index + 1, atMs}));

/** A request as sent by a caller. */
export const sent = (requestId: string, fields: Partial<SentRequest> = {}): HistoryEvent => ({
	source: 'run',
	name: 'run',
	event: {
		kind: 'sent', requestId, client: 'c', entry: 'entry-1', account: 'planning', key: 'planning-key', request: 'action', actionKey: 'order-1', ...fields,
	},
});

/** An error answer. */
export const refused = (requestId: string, code: string, ran: 'not-run' | 'ran' | 'unknown'): HistoryEvent => ({
	source: 'run',
	name: 'run',
	event: {
		kind: 'answered', requestId, status: 503, body: '', code, ran, durationMs: 1,
	},
});

/** A fault of the injector. */
export const fault = (name: string, target = 'agent-service-1'): HistoryEvent => ({source: 'run', name: 'run', event: {kind: 'fault', fault: name, target}});

/** A note of a process. */
export const note = (name: string, value: unknown): HistoryEvent => ({source: 'run', name: 'run', event: {kind: 'note', name, value}});

/** An order that took effect at a service. */
export const order = (requestId: string, {service = 'service-1', actionId = 'id-1', body = 'order-1', account = 'planning'} = {}): HistoryEvent => ({
	source: 'service',
	name: service,
	event: {
		kind: 'order',
		call: {
			method: 'POST', path: '/orders', headers: {[requestIdHeader]: requestId, 'x-client-account': account}, body, actionId,
		},
	} satisfies ServiceEvent,
});

/** An event of an engine. */
export const engine = (event: EngineEvent, name = 'engine-1'): HistoryEvent => ({source: 'engine', name, event});

/** An event of the platform. */
export const platform = (event: PlatformEvent): HistoryEvent => ({source: 'platform', name: 'platform', event});
