/**
 * Runs a daemon in this process: settings, log, and the two stop signals.
 */
import {setMaxListeners} from 'node:events';
import {
	formatSettingFinding, readSettings, type SettingsByKind, type SettingsKind,
} from '@hawthorncleat/core';
import type {CommandContext} from '../context.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {
	createDaemonDeps, createLog, type DaemonDeps, type RunningDaemon, type StartDaemon,
} from './start.js';

/** Starts whatever is to run until the signal aborts. */
export type StartAll = (deps: DaemonDeps, signal: AbortSignal) => Promise<RunningDaemon>;

/** Settles at the first stop signal; the second ends the process. */
const waitForStop = async (context: CommandContext, signal: AbortSignal): Promise<void> => new Promise(resolve => {
	let signals = 0;
	context.onStopSignal(() => {
		signals += 1;
		if (signals > 1) {
			context.exitNow(exitCodes.failed);
			return;
		}

		resolve();
	}, signal);
});

/**
 * Runs until drained. The first stop signal drains, so that no running request is cut off (I13); the second ends the
 * process at once.
 */
export const runUntilStopped = async (context: CommandContext, deps: DaemonDeps, start: StartAll): Promise<ExitCode> => {
	const running = new AbortController();
	const listening = new AbortController();
	// Every part of a daemon hangs its clean-up on this one signal.
	setMaxListeners(0, running.signal);
	const stopped = waitForStop(context, listening.signal);
	try {
		const daemon = await start(deps, running.signal);
		const wasClosed = await Promise.race([stopped.then(() => false), daemon.closed.then(() => true)]);
		if (!wasClosed) {
			await daemon.drain();
		}

		running.abort();
		await daemon.closed;
		return exitCodes.done;
	} finally {
		running.abort();
		listening.abort();
	}
};

/** Reads the settings of a daemon and runs it. */
export const runDaemon = async <Kind extends SettingsKind>(
	context: CommandContext,
	kind: Kind,
	flags: Readonly<Record<string, unknown>>,
	start: StartDaemon<SettingsByKind[Kind]>,
): Promise<ExitCode> => {
	const result = readSettings(kind, {flags, env: context.env});
	if (!result.ok) {
		for (const finding of result.findings) {
			context.printError(formatSettingFinding(finding));
		}

		return exitCodes.wrongUsage;
	}

	const {settings} = result;
	const deps = createDaemonDeps(createLog(settings, context.printError));
	return runUntilStopped(context, deps, async (_, signal) => start(settings, deps, signal));
};
