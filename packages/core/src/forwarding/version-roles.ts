/**
 * The division of roles while engines of several software versions serve side by side. A stream goes on only at the version that began it, and KV caches are
 * not passed between versions, so each version needs decode engines of its own; a decode engine can also prefill.
 */
import {groupBy} from '../group-by.js';
import type {SoftwareVersion} from '../ids.js';
import type {EndpointRole} from './deployment.js';

/** An engine with the role that it has, or changes to. */
export type VersionedEngine = {readonly endpoint: string; readonly version: SoftwareVersion; readonly role: EndpointRole};

/** With one decode engine, its loss would end all streams of its version. */
const minDecodeEngines = 2;

const countDecoders = (engines: readonly VersionedEngine[]): number => engines.filter(({role}) => role === 'decode').length;

/** Prefill engines of versions with too few decode engines. One of them is to decode, however little there is to do. */
export const findNeededDecoders = (engines: readonly VersionedEngine[]): VersionedEngine[] => {
	const versions = groupBy(engines, ({version}) => version);
	return versions.size > 1
		? [...versions.values()].filter(ofVersion => countDecoders(ofVersion) < minDecodeEngines).flat().filter(({role}) => role === 'prefill')
		: [];
};

/** Decode engines that may change their role. */
export const findSpareDecoders = (engines: readonly VersionedEngine[]): VersionedEngine[] => {
	const decoders = engines.filter(({role}) => role === 'decode');
	const versions = groupBy(engines, ({version}) => version);
	return versions.size > 1
		? decoders.filter(({version}) => countDecoders(versions.get(version)!) > minDecodeEngines)
		: decoders;
};
