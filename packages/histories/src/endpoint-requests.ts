/**
 * What the endpoints of a fleet received, in the form that the rules read.
 */
import type {EngineRecord, ServiceRecord} from '@hawthorncleat/stand-ins';
import {requestIdHeader} from './fleet-config.js';
import type {Fleet} from './fleet.js';
import type {EndpointRequest} from './rules/observations.js';

const tagPattern = /\[request ([^\]]+)]/;

const readEngine = (endpoint: string, records: readonly EngineRecord[]): EndpointRequest[] => records.flatMap(record => {
	if (record.kind !== 'request') {
		return [];
	}

	const {path, headers, body, atMs} = record;
	const isGenerate = path === '/generate';
	return [{
		endpoint,
		atMs,
		text: `${path} ${JSON.stringify(headers)} ${body}`,
		account: isGenerate ? (JSON.parse(body) as {clientAccount: string}).clientAccount : undefined,
		callId: isGenerate ? tagPattern.exec(body)?.[1] : undefined,
	}];
});

const readService = (endpoint: string, records: readonly ServiceRecord[]): EndpointRequest[] => records
	.filter(({kind}) => kind === 'received')
	.map(({call: {path, headers, body}, atMs}) => ({
		endpoint,
		atMs,
		text: `${path} ${JSON.stringify(headers)} ${body}`,
		account: String(headers['x-client-account']),
		callId: String(headers[requestIdHeader]),
	}));

/** Everything that the endpoints received, also cancellations, which carry no call. */
export const listReceived = ({standIns: {engines, services}}: Fleet): EndpointRequest[] => [
	...[...engines].flatMap(([name, {history}]) => readEngine(name, history)),
	...[...services].flatMap(([name, {history}]) => readService(name, history)),
];

/** The requests that run something for a caller. */
export const listWork = (fleet: Fleet): EndpointRequest[] => listReceived(fleet).filter(({account}) => account !== undefined);
