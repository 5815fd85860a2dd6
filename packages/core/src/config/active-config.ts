/**
 * Holds the version of the configuration that is active in a daemon. It is only ever replaced by a higher version, so an
 * accepted change is never reverted on a daemon that has installed it (I14). Recent deltas are retained to bring peers up to
 * date.
 */
import type {Delta, Snapshot} from '@hawthorncleat/schema';
import {createConfigView, type AdvancingView} from './create-view.js';
import {emptySnapshot} from './delta.js';
import type {ConfigView} from './view.js';

/** Deltas or a snapshot from which a daemon installs a newer version. */
export type ConfigUpdate = {readonly deltas?: readonly Delta[]; readonly snapshot?: Snapshot};

/** Called with the new view after a version has been installed. */
export type ActiveConfigListener = (view: ConfigView) => void;

/** Holder of the active version. */
export type ActiveConfig = {
	view(): AdvancingView;
	/** Installs the snapshot if it is newer, and the deltas that follow without a gap. Returns whether a newer version is active now. */
	install(update: ConfigUpdate): boolean;
	/** Returns the update for a peer at the given version: deltas if all of them are retained, otherwise the snapshot. */
	updateSince(version: number): {readonly version: number} & ConfigUpdate;
	/** Registers a listener until the signal aborts. */
	onChange(listener: ActiveConfigListener, signal?: AbortSignal): void;
};

/** Enough for a peer that missed a few minutes at the target rate of one change every 2.3 s. */
const maxRetainedDeltas = 200;

type State = {readonly view: AdvancingView; readonly recentDeltas: readonly Delta[]};

const installSnapshot = (state: State, snapshot: Snapshot | undefined): State =>
	snapshot && snapshot.version > state.view.version ? {view: createConfigView(snapshot), recentDeltas: []} : state;

const installDelta = (state: State, delta: Delta): State =>
	delta.version === state.view.version + 1
		? {view: state.view.advance(delta), recentDeltas: [...state.recentDeltas, delta].slice(-maxRetainedDeltas)}
		: state;

const installDeltas = (state: State, deltas: readonly Delta[]): State => {
	let next = state;
	for (const delta of deltas) {
		next = installDelta(next, delta);
	}

	return next;
};

/**
 * Deltas that follow the active version are preferred to the snapshot. They cost a thousandth of building a new view, and
 * they are retained for peers, which would otherwise need the whole snapshot.
 */
const installUpdate = (state: State, {snapshot, deltas = []}: ConfigUpdate): State => {
	const ordered = deltas.toSorted((a, b) => a.version - b.version);
	return installDeltas(installSnapshot(installDeltas(state, ordered), snapshot), ordered);
};

const updateSince = ({view, recentDeltas}: State, version: number): {readonly version: number} & ConfigUpdate => {
	const missing = recentDeltas.filter(delta => delta.version > version);
	const isComplete = missing.length >= view.version - version;
	return isComplete ? {version: view.version, deltas: missing} : {version: view.version, snapshot: view.snapshot};
};

/** Creates a holder, by default with the empty configuration of version 0. */
export const createActiveConfig = (initialSnapshot: Snapshot = emptySnapshot): ActiveConfig => {
	let state: State = {view: createConfigView(initialSnapshot), recentDeltas: []};
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
