/**
 * Wiring of the entry daemon.
 */
import type {EntrySettings} from '@hawthorncleat/schema';
import {loadFunction, type StartDaemon} from './start.js';

/** Starts an entry. */
export const startEntry: StartDaemon<EntrySettings> = async (settings, deps, signal) => {
	const start = await loadFunction<StartDaemon<EntrySettings>>('@hawthorncleat/entry', 'startEntryDaemon');
	return start(settings, deps, signal);
};
