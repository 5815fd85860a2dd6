/**
 * Divides what the host grants this process: a share of its memory for what is kept for callers, and a share of its memory and of its descriptors for their
 * connections. The rest is for the program itself, the endpoints, the store and the other entries.
 */
import type {ForwardSettings} from '../ports.js';

export type HostBudget = {
	/** Bytes kept for callers: bodies, answers that are not sent yet, and what a running request takes beside them. */
	readonly heldBytes: number;
	/** Connections of callers. */
	readonly connections: number;
	/** Requests that run at the same time; each takes a connection to an endpoint. */
	readonly requests: number;
};

/** Assumed without a setting. */
const defaultMemoryBytes = 512 * 1024 * 1024;
const heldFraction = 1 / 6;
const connectionsFraction = 1 / 5;
/** Memory of an open connection, with what has arrived on it and was not read. */
const connectionBytes = 24_576;
/** Descriptors that are kept for files. */
const fileDescriptors = 200;
const callerDescriptorFraction = 0.4;
/** The others are for the store, other entries and further attempts. */
const endpointDescriptorFraction = 0.35;
/** With fewer, one request of an account would leave no room that its next one may take. */
const minRequests = 16;

export const createHostBudget = ({hostLimits = {}}: Pick<ForwardSettings, 'hostLimits'>): HostBudget => {
	const {memoryBytes = defaultMemoryBytes, descriptors = Number.POSITIVE_INFINITY} = hostLimits;
	const byMemory = Math.floor(memoryBytes * connectionsFraction / connectionBytes);
	const sockets = descriptors - fileDescriptors;
	const byDescriptors = Math.floor(sockets * callerDescriptorFraction);
	return {
		heldBytes: Math.floor(memoryBytes * heldFraction),
		connections: Math.max(1, Math.min(byMemory, byDescriptors)),
		requests: Math.max(minRequests, Math.floor(sockets * endpointDescriptorFraction)),
	};
};
