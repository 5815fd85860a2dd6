/**
 * The version of the configuration that a daemon has in force. It never goes back, so an accepted change never
 * reverts on a daemon that has once seen it (I14).
 */
import type {Delta, Snapshot} from '@hawthorncleat/schema';
import {createConfigView, type AdvancingView} from './create-view.js';
import {emptySnapshot} from './delta.js';
import type {ConfigView} from './view.js';

/** Deltas or a snapshot that bring a daemon to a newer version. */
export type ConfigUpdate = {readonly deltas?: readonly Delta[]; readonly snapshot?: Snapshot};

/** Called with the new view after each installation. */
export type ActiveConfigListener = (view: ConfigView) => void;

/** Holder of the version in force. */
export type ActiveConfig = {
	view(): AdvancingView;
	/** Installs what is newer and follows without a gap. Returns whether the version has risen. */
	install(update: ConfigUpdate): boolean;
	/** What a peer at the given version needs; deltas where they are still held, else the snapshot. */
	updateSince(version: number): {readonly version: number} & ConfigUpdate;
	/** Registers a listener until the signal aborts. */
	onChange(listener: ActiveConfigListener, signal?: AbortSignal): void;
};

/** Enough for a peer that missed a few minutes at the target of one change every 2.3 s. */
const keptDeltas = 200;

type State = {readonly view: AdvancingView; readonly recent: readonly Delta[]};

const installSnapshot = (state: State, snapshot: Snapshot | undefined): State =>
	snapshot && snapshot.version > state.view.version ? {view: createConfigView(snapshot), recent: []} : state;

const installDelta = (state: State, delta: Delta): State =>
	delta.version === state.view.version + 1
		? {view: state.view.advance(delta), recent: [...state.recent, delta].slice(-keptDeltas)}
		: state;

const installDeltas = (state: State, deltas: readonly Delta[]): State => {
	let next = state;
	for (const delta of deltas) {
		next = installDelta(next, delta);
	}

	return next;
};

/**
 * Deltas that follow the version in force are preferred to the snapshot: they cost a thousandth of a rebuilt view, and
 * they are kept for peers, which would otherwise need the whole snapshot.
 */
const installUpdate = (state: State, {snapshot, deltas = []}: ConfigUpdate): State => {
	const ordered = deltas.toSorted((a, b) => a.version - b.version);
	return installDeltas(installSnapshot(installDeltas(state, ordered), snapshot), ordered);
};

const updateSince = ({view, recent}: State, version: number): {readonly version: number} & ConfigUpdate => {
	const missing = recent.filter(delta => delta.version > version);
	const isComplete = missing.length >= view.version - version;
	return isComplete ? {version: view.version, deltas: missing} : {version: view.version, snapshot: view.snapshot};
};

/** Creates a holder; it starts with the empty configuration of version 0. */
export const createActiveConfig = (first: Snapshot = emptySnapshot): ActiveConfig => {
	let state: State = {view: createConfigView(first), recent: []};
	const listeners = new Set<ActiveConfigListener>();
	return {
		view: () => state.view,
		install(update) {
			const next = installUpdate(state, update);
			if (next.view.version <= state.view.version) {
				return false;
			}

			state = next;
			for (const listener of listeners) {
				listener(state.view);
			}

			return true;
		},
		updateSince: version => updateSince(state, version),
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
