/**
 * Other entries, and groups of them that get the same messages.
 */
import type {MeasuredSpeed} from '../endpoints/engine-speeds.js';
import type {SentWork} from '../endpoints/load-tracker.js';

/** Another entry. */
export type Peer = {
	readonly name: string;
	readonly address: string;
	readonly port: number;
	/** Entries of earlier versions do not tell it. */
	readonly dataCentre?: string;
};

/** Peers that get the same messages, and what they have got. */
export class PeerGroup {
	readonly name: string;
	readonly peers: () => readonly Peer[];
	readonly intervalMs: () => number;
	/** Work and measurements that these peers have not been told of. */
	sent: SentWork[] = [];
	speeds: MeasuredSpeed[] = [];
	lastSentMs = Number.NEGATIVE_INFINITY;
	lastUsageSentMs = Number.NEGATIVE_INFINITY;
	lastState = '';

	constructor(name: string, peers: () => readonly Peer[], intervalMs: () => number) {
		this.name = name;
		this.peers = peers;
		this.intervalMs = intervalMs;
	}
}
