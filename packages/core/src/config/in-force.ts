/**
 * The version of the configuration that a daemon has in force. It never goes back, so an accepted change never
 * reverts on a daemon that has once seen it (I14).
 */
import type {Delta, Snapshot} from '@hawthorncleat/schema';
import {createConfigView} from './create-view.js';
import {applyDelta, emptySnapshot} from './delta.js';
import type {ConfigView} from './view.js';

/** Deltas or a snapshot that bring a daemon to a newer version. */
export type ConfigUpdate = {readonly deltas?: readonly Delta[]; readonly snapshot?: Snapshot};

/** Called with the new view after each installation. */
export type InForceListener = (view: ConfigView) => void;

/** Holder of the version in force. */
export type InForce = {
	view(): ConfigView;
	/** Installs what is newer and follows without a gap. Returns whether the version has risen. */
	install(update: ConfigUpdate): boolean;
	/** What a peer at the given version needs; deltas where they are still held, else the snapshot. */
	since(version: number): {readonly version: number} & ConfigUpdate;
	/** Registers a listener until the signal aborts. */
	onChange(listener: InForceListener, signal?: AbortSignal): void;
};

/** Enough for a peer that missed a few minutes at the target of one change every 2.3 s. */
const keptDeltas = 200;

type State = {readonly snapshot: Snapshot; readonly recent: readonly Delta[]};

const installSnapshot = (state: State, snapshot: Snapshot | undefined): State =>
	snapshot && snapshot.version > state.snapshot.version ? {snapshot, recent: []} : state;

const installDelta = (state: State, delta: Delta): State =>
	delta.version === state.snapshot.version + 1
		? {snapshot: applyDelta(state.snapshot, delta), recent: [...state.recent, delta].slice(-keptDeltas)}
		: state;

const installUpdate = (state: State, {snapshot, deltas = []}: ConfigUpdate): State => {
	let next = installSnapshot(state, snapshot);
	for (const delta of deltas.toSorted((a, b) => a.version - b.version)) {
		next = installDelta(next, delta);
	}

	return next;
};

const updateSince = ({snapshot, recent}: State, version: number): {readonly version: number} & ConfigUpdate => {
	const missing = recent.filter(delta => delta.version > version);
	const complete = missing.length >= snapshot.version - version;
	return complete ? {version: snapshot.version, deltas: missing} : {version: snapshot.version, snapshot};
};

/** Creates a holder; it starts with the empty configuration of version 0. */
export const createInForce = (first: Snapshot = emptySnapshot): InForce => {
	let state: State = {snapshot: first, recent: []};
	let view = createConfigView(first);
	const listeners = new Set<InForceListener>();
	return {
		view: () => view,
		install(update) {
			const next = installUpdate(state, update);
			if (next.snapshot.version <= state.snapshot.version) {
				return false;
			}

			state = next;
			view = createConfigView(next.snapshot);
			for (const listener of listeners) {
				listener(view);
			}

			return true;
		},
		since: version => updateSince(state, version),
		onChange(listener, signal) {
			if (signal?.aborted) {
				return;
			}

			listeners.add(listener);
			signal?.addEventListener('abort', () => {
				listeners.delete(listener);
			}, {once: true});
		},
	};
};
