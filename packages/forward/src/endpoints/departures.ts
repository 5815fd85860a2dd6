/**
 * Processes of endpoints that have left or are leaving, as entries tell them to each other: an entry that is cut off from the store learns of them
 * from those that are not. Each is told a few times by the fleet as a whole, since a message reaches all peers at once: what an entry hears from others
 * it repeats less often. Its age counts from the first entry on, so that no departure is passed on for longer than a bounded time.
 */
import type {Clock} from '@hawthorncleat/core';
import type {EndpointProcess} from './leaving-processes.js';

/**
 * How it is known: the registration was removed, says that the process leaves, or the process said so in an answer. The last one holds for
 * the process whatever it registers later, so it replaces the others.
 */
export const departureKinds = ['removed', 'registered', 'answer'] as const;
export type DepartureKind = typeof departureKinds[number];

export type Departure = EndpointProcess & {
	readonly kind: DepartureKind;
	/** Newest heartbeat before the departure; a later one shows that the process has registered again. */
	readonly heartbeat: number;
	/** Time since the first entry learned of it. */
	readonly ageMs: number;
};

/** After this time every entry in touch with the store or with a peer has learned of a departure. */
export const maxDepartureAgeMs = 6000;
/** Datagrams get lost, so departures are told several times; by then nearly every peer has got one. */
const maxTellings = 3;
/** Departures and bytes of them that leave room for the load in a datagram. */
const maxPerMessage = 8;
const maxBytesPerMessage = 500;
/** Bytes of an encoded departure beside its id. */
const bytesBesideId = 46;

type ToldDeparture = Omit<Departure, 'ageMs'> & {
	atMs: number;
	/** How often peers told it. */
	heard: number;
	/** How often it was told, by the name of the group of peers. */
	readonly tellings: Map<string, number>;
};

type Comparable = Pick<Departure, 'heartbeat' | 'kind' | 'startedAt'>;

const supersedes = (a: Comparable, b: Comparable): boolean => {
	const [rank, otherRank] = [departureKinds.indexOf(a.kind), departureKinds.indexOf(b.kind)];
	return a.startedAt > b.startedAt || (a.startedAt === b.startedAt && (rank > otherRank || (rank === otherRank && a.heartbeat > b.heartbeat)));
};

/** The first departures that fit into a message. */
const fitting = <Item extends EndpointProcess>(departures: readonly Item[]): Item[] => {
	let bytes = 0;
	return departures.slice(0, maxPerMessage).filter(({id}) => {
		const size = id.length + bytesBesideId;
		const fits = bytes + size <= maxBytesPerMessage;
		bytes += fits ? size : 0;
		return fits;
	});
};

export class Departures {
	readonly #clock: Clock;
	readonly #byId = new Map<string, ToldDeparture>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of departures that may still be told. */
	get count(): number {
		return this.#byId.size;
	}

	/** Records a departure that this entry has seen itself. */
	record(departure: Omit<Departure, 'ageMs'>): void {
		this.#add({...departure, ageMs: 0}, 0);
	}

	/** Records a departure that a peer told. */
	recordHeard(departure: Departure): void {
		if (!this.#add(departure, 1)) {
			const told = this.#byId.get(departure.id);
			if (told && !supersedes(told, departure)) {
				told.heard += 1;
				told.atMs = Math.min(told.atMs, this.#clock.nowMs() - departure.ageMs);
			}
		}
	}

	/** Drops a departure that a newer registration has shown to be undone. */
	drop({id, startedAt, heartbeat}: EndpointProcess & {readonly heartbeat: number}): void {
		const told = this.#byId.get(id);
		if (told && (startedAt > told.startedAt || (startedAt === told.startedAt && told.kind !== 'answer' && heartbeat > told.heartbeat))) {
			this.#byId.delete(id);
		}
	}

	/** Departures for a message to a group of peers: those that were told least, the latest first. */
	toSend(receivers: string): Departure[] {
		this.#forget();
		const tellingsOf = ({tellings}: ToldDeparture): number => tellings.get(receivers) ?? 0;
		const due = [...this.#byId.values()]
			.filter(told => told.heard + tellingsOf(told) < maxTellings)
			.toSorted((a, b) => tellingsOf(a) - tellingsOf(b) || b.atMs - a.atMs);
		return fitting(due).map(told => {
			told.tellings.set(receivers, tellingsOf(told) + 1);
			const {id, startedAt, kind, heartbeat, atMs} = told;
			return {
				id, startedAt, kind, heartbeat, ageMs: this.#clock.nowMs() - atMs,
			};
		});
	}

	#add({ageMs, ...departure}: Departure, heard: number): boolean {
		const told = this.#byId.get(departure.id);
		if (ageMs >= maxDepartureAgeMs || (told && !supersedes(departure, told))) {
			return false;
		}

		this.#forget();
		this.#byId.set(departure.id, {
			...departure, atMs: this.#clock.nowMs() - ageMs, heard, tellings: new Map(),
		});
		return true;
	}

	#forget(): void {
		const nowMs = this.#clock.nowMs();
		for (const [id, {atMs}] of this.#byId) {
			if (nowMs - atMs >= maxDepartureAgeMs) {
				this.#byId.delete(id);
			}
		}
	}
}
