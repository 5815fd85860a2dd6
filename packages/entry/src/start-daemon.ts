/**
 * Starts an entry as it runs in production: connected to the platform by its settings.
 */
import {setMaxListeners} from 'node:events';
import type {Clock, MakeId, Random} from '@hawthorncleat/core';
import type {EntrySettings} from '@hawthorncleat/schema';
import {createJsonLineExporter, createTracer, type Log} from '@hawthorncleat/telemetry';
import {createEntryControl} from './control/entry-control.js';
import {createDuties} from './duties/duties.js';
import {startEntry, type Entry} from './start.js';

export type EntryDaemonDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: Log;
};

/** An entry needs an id before it listens, because the host list knows it by that. */
const completeSettings = (settings: EntrySettings): EntrySettings => ({
	...settings,
	entryId: settings.entryId || `${settings.address}:${settings.internalPort}`,
});

/** Starts the daemon. */
export const startEntryDaemon = async (
	givenSettings: EntrySettings,
	deps: EntryDaemonDeps,
	signal: AbortSignal,
): Promise<Entry> => {
	const settings = completeSettings(givenSettings);
	const own = new AbortController();
	const combined = AbortSignal.any([signal, own.signal]);
	setMaxListeners(0, combined);
	try {
		const control = await createEntryControl(settings, deps, combined);
		const tracing = createTracer('hawthorncleat-entry', settings.traceFile ? createJsonLineExporter(settings.traceFile) : undefined);
		const wallClock = {nowMs: () => Date.now()};
		const entry = await startEntry(settings, {
			...deps, ...control, wallClock, tracing, runDuties: createDuties(settings, {...deps, ...control, wallClock}),
		}, combined);
		const closed = entry.closed.then(async () => {
			own.abort();
			await control.closed;
			await tracing.shutdown();
		});
		return {...entry, closed};
	} catch (error) {
		own.abort();
		throw error;
	}
};
