/**
 * Applies the endpoints' registrations in the store to the endpoint pool. Registrations that expired during an outage of the
 * store, or that it lost on its return from an older copy, are renewed shortly after it, so for that time the pool keeps endpoints whose
 * registration is missing.
 */
import {
	brandAs, type Clock, type EndpointId, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import type {StoreAnswer, StoreRow} from '../ports.js';
import {Departures, maxDepartureAgeMs, type Departure} from './departures.js';
import type {EndpointPool} from './endpoint-pool.js';
import {KnownEndpoints} from './known-endpoints.js';
import {LeavingProcesses, type EndpointProcess} from './leaving-processes.js';
import {RegistrationOutages, reregistrationMs} from './registration-outages.js';

/**
 * For this time a removed endpoint does not come back by an older registration: a delayed write, or one that the store has again after its
 * return from a copy some seconds old.
 */
const removedRetentionMs = 120_000;

export type EndpointDirectoryOptions = {
	readonly clock: Clock;
	readonly pool: EndpointPool;
	/** Interval between two heartbeats of an endpoint. */
	readonly heartbeatMs: number;
	readonly readEndpoint: (id: EndpointId, text: string) => RegisteredEndpoint | undefined;
	readonly onChange: (change: EndpointChange) => void;
	/** Called with the key of a registration that could not be applied. */
	readonly onRowError: (key: string, error: unknown) => void;
};

/** How this entry learned that a process leaves, other than by its registration. */
export type LeavingSource = 'answer' | 'peer';

export type EndpointChange = {
	readonly id: string;
	readonly was: string;
	readonly is: string;
	readonly version: number;
	/** The endpoint disappeared or restarted without having announced that it leaves. */
	readonly isCrash?: boolean;
	/** Absent if the change was read in the store. */
	readonly source?: LeavingSource;
	/** The last time without an answer of the store, if its registration is missing: whether it can have expired then decides if the endpoint is kept. */
	readonly outageMs?: number;
};

const describeState = (endpoint: RegisteredEndpoint | undefined): string => {
	if (!endpoint) {
		return 'absent';
	}

	return `${endpoint.isLeaving ? 'leaving' : 'ready'}${endpoint.role ? ` ${endpoint.role}` : ''}`;
};

export class EndpointDirectory {
	readonly #options: EndpointDirectoryOptions;
	/** Endpoints whose registration is missing, with the time at which each is removed. */
	readonly #removalTimes = new Map<string, number>();
	readonly #known: KnownEndpoints;
	/** Processes that have left or are leaving, for the other entries. */
	readonly #departures: Departures;
	/** Endpoints that have registered again since the store's return. A later removal of theirs has nothing to do with the outage. */
	readonly #renewedSinceReturn = new Set<string>();
	/** Processes that have said in an answer that they leave. */
	readonly #leaving: LeavingProcesses;
	readonly #outages: RegistrationOutages;
	#isStoreAvailable = true;

	constructor(options: EndpointDirectoryOptions) {
		this.#options = options;
		this.#known = new KnownEndpoints(options.clock);
		this.#departures = new Departures(options.clock);
		this.#leaving = new LeavingProcesses(options.clock);
		this.#outages = new RegistrationOutages(options.clock, options.heartbeatMs);
	}

	/** Records whether registrations can be read. While they cannot, a missing endpoint may have registered again. */
	setStoreAvailable(isAvailable: boolean): void {
		this.#isStoreAvailable = isAvailable;
		if (isAvailable) {
			this.recordStoreAnswer();
		}
	}

	/** Records that the store has answered a call for any table, so that it was up. */
	recordStoreAnswer(): void {
		if (!this.#outages.recordAnswer(this.#options.pool.size)) {
			return;
		}

		this.#renewedSinceReturn.clear();
		// Endpoints that were missing before the outage could not register again in it.
		for (const id of this.#removalTimes.keys()) {
			this.#removalTimes.set(id, this.#outages.reregistrationEndMs);
		}
	}

	/** Records that the store has returned from an older copy, so that registrations since then are missing, however recent their heartbeats were. */
	recordStoreReturn(): void {
		this.#outages.recordCopyReturn();
		this.#renewedSinceReturn.clear();
	}

	/** Records that a process has said in an answer, to this entry or to a peer, that it leaves. Only a later start of the endpoint is used again. */
	recordLeaving(process: EndpointProcess, source: LeavingSource): void {
		// Each further answer says it again.
		if (this.#leaving.has(process)) {
			return;
		}

		this.#leaving.record(process);
		if (source === 'answer') {
			this.#departures.record({...process, kind: 'answer', heartbeat: 0});
		}

		this.#markLeaving(process, source);
	}

	/** Departures for a message to a group of peers. */
	departuresToSend(receivers: string): readonly Departure[] {
		return this.#departures.toSend(receivers);
	}

	/** Applies what a peer knows of processes that have left or are leaving. A registration that this entry has read may be newer than that. */
	applyDepartures(departures: readonly Departure[]): void {
		for (const departure of departures) {
			if (departure.ageMs < maxDepartureAgeMs && this.#applyDeparture(departure)) {
				this.#departures.recordHeard(departure);
			}
		}
	}

	/** Applies rows of the store. In a snapshot, an endpoint without a row is not registered. */
	apply({rows}: StoreAnswer, isSnapshot: boolean): void {
		this.#outages.recordMissing(this.#findMissing(rows, isSnapshot));
		this.#outages.recordNewcomers(rows.filter(row => this.#isNewcomer(row)).map(({key}) => key));
		for (const row of rows) {
			this.#tryApplyRow(row);
		}

		if (isSnapshot) {
			const presentKeys = new Set(rows.map(({key}) => key));
			for (const {endpoint: {id}} of this.#options.pool.all()) {
				if (!presentKeys.has(id)) {
					this.#handleMissing(id, 0, {isDamaged: false});
				}
			}
		}

		this.removeExpired();
		this.#known.forget(removedRetentionMs);
		this.#leaving.forget(id => this.#options.pool.get(id) !== undefined, removedRetentionMs);
	}

	/** Removes the endpoints that did not register again in time. */
	removeExpired(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [id, removeAtMs] of this.#removalTimes) {
			if (nowMs >= removeAtMs && this.#isStoreAvailable) {
				this.#removalTimes.delete(id);
				this.#remove(id, 0);
			}
		}
	}

	/** Endpoints in use whose registration is missing by an answer. */
	#findMissing(rows: readonly StoreRow[], isSnapshot: boolean): string[] {
		const values = new Map(rows.map(({key, value}) => [key, value]));
		return [...this.#options.pool.all()]
			.map(({endpoint: {id}}) => id)
			.filter(id => values.get(id) === undefined && (isSnapshot || values.has(id)));
	}

	/** Whether a row is the first registration of an endpoint. */
	#isNewcomer({key, value}: StoreRow): boolean {
		if (value === undefined || this.#known.has(key)) {
			return false;
		}

		try {
			return this.#options.readEndpoint(brandAs<EndpointId>(key), value) !== undefined;
		} catch {
			// The error is reported when the row is applied.
			return false;
		}
	}

	/** A row that cannot be applied costs the others nothing. */
	#tryApplyRow(row: StoreRow): void {
		try {
			this.#applyRow(row);
		} catch (error) {
			this.#options.onRowError(row.key, error);
		}
	}

	#applyRow({key, value, version}: StoreRow): void {
		const registered = value === undefined ? undefined : this.#options.readEndpoint(brandAs<EndpointId>(key), value);
		if (!registered) {
			this.#handleMissing(key, version, {isDamaged: value !== undefined});
			return;
		}

		const endpoint = this.#leaving.has(registered) ? {...registered, isLeaving: true} : registered;
		const age = this.#known.record(endpoint);
		if (age === 'earlier-process' && !this.#removalTimes.has(key)) {
			// The registration of the process in use is missing; if it is live, it replaces this one with its next heartbeat.
			this.#keepForNow(key, version, this.#options.clock.nowMs() + reregistrationMs);
		}

		if (age === 'outdated' || age === 'earlier-process') {
			return;
		}

		// The same heartbeat as before the outage proves nothing: the registration may be about to expire.
		if (age === 'newer' && this.#options.clock.nowMs() < this.#outages.reregistrationEndMs) {
			this.#renewedSinceReturn.add(key);
		}

		// Only a new heartbeat ends the wait for one. A late write or a copy can put the same one back after the endpoint has left.
		if (age !== 'same') {
			this.#removalTimes.delete(key);
		}

		const before = this.#options.pool.get(key)?.endpoint;
		this.#options.pool.put(endpoint);
		this.#recordState(before, endpoint);
		const isRestart = before !== undefined && before.startedAt !== endpoint.startedAt;
		if (isRestart || describeState(before) !== describeState(endpoint)) {
			this.#options.onChange({
				id: key, was: describeState(before), is: describeState(endpoint), version, ...isRestart && {isCrash: !before.isLeaving},
			});
		}
	}

	/** Passes on that an endpoint now leaves, or that it does not. */
	#recordState(before: RegisteredEndpoint | undefined, {id, startedAt, heartbeat, isLeaving}: RegisteredEndpoint): void {
		if (!isLeaving) {
			this.#departures.drop({id, startedAt, heartbeat});
		} else if (before && !before.isLeaving) {
			this.#departures.record({
				id, startedAt, kind: 'registered', heartbeat,
			});
		}
	}

	#applyDeparture(departure: Departure): boolean {
		const {id, kind} = departure;
		if (kind === 'answer') {
			this.recordLeaving(departure, 'peer');
			return true;
		}

		if (!this.#known.recordDeparture(departure)) {
			return false;
		}

		if (kind === 'removed') {
			this.#removalTimes.delete(id);
			this.#remove(id, 0, 'peer');
		} else {
			this.#markLeaving(departure, 'peer');
		}

		return true;
	}

	#markLeaving({id, startedAt}: EndpointProcess, source: LeavingSource): void {
		const before = this.#options.pool.get(id)?.endpoint;
		if (before && !before.isLeaving && before.startedAt <= startedAt) {
			const endpoint = {...before, isLeaving: true};
			this.#options.pool.put(endpoint);
			this.#options.onChange({
				id, was: describeState(before), is: describeState(endpoint), version: 0, source,
			});
		}
	}

	/** Removes an endpoint without a registration: at once, or shortly after an outage if its registration may have expired or been lost in it. */
	#handleMissing(id: string, version: number, {isDamaged}: {readonly isDamaged: boolean}): void {
		const reason = this.#renewedSinceReturn.has(id) ? 'left' : this.#outages.explainMissing();
		if (reason === 'expired' || reason === 'lost') {
			this.#keepForNow(id, version, this.#outages.reregistrationEndMs);
			return;
		}

		const before = this.#options.pool.get(id)?.endpoint;
		// Peers remove it, too, so they are told only what is certain. They know of one that leaves, and may be able to read what this entry cannot.
		if (before && !before.isLeaving && !isDamaged && reason === 'left') {
			this.#departures.record({
				id: before.id, startedAt: before.startedAt, kind: 'removed', heartbeat: this.#known.heartbeatOf(id),
			});
		}

		this.#remove(id, version);
	}

	#keepForNow(id: string, version: number, untilMs: number): void {
		const before = this.#options.pool.get(id)?.endpoint;
		if (!before) {
			return;
		}

		const isFirst = !this.#removalTimes.has(id);
		this.#removalTimes.set(id, untilMs);
		if (isFirst) {
			this.#options.onChange({
				id, was: describeState(before), is: 'unregistered', version, outageMs: this.#outages.recentOutageMs,
			});
		}
	}

	#remove(id: string, version: number, source?: LeavingSource): void {
		const before = this.#options.pool.get(id)?.endpoint;
		if (before) {
			this.#options.pool.remove(id);
			this.#known.recordRemoved(id);
			this.#options.onChange({
				id, was: describeState(before), is: describeState(undefined), version, source, isCrash: !before.isLeaving, outageMs: this.#outages.recentOutageMs,
			});
		}
	}
}
