/**
 * What the operator's commands cost at the size of a configuration.
 */
import {daemonScript, startNode} from './child-process.js';
import {adminToken, type Fleet} from './fleet.js';
import {watchUsage} from './process-usage.js';
import type {Figures} from './slopes.js';

const pollMs = 5;
const bytesPerMegabyte = 1e6;

/** Runs a command against the entry and throws its output away. */
const runCommand = async ({adminUrl}: Fleet, command: readonly string[]): Promise<{readonly cpuMs: number; readonly megabytes: number}> => {
	const args = [daemonScript, ...command, '--admin-url', adminUrl, '--admin-token', adminToken];
	const {pid, child} = startNode(args, new AbortController().signal);
	child.stdout!.resume();
	const usage = await watchUsage(pid, pollMs, () => child.exitCode !== null || child.signalCode !== null);
	if (child.exitCode !== 0) {
		throw new Error(`${command.join(' ')} ended with ${child.exitCode}`);
	}

	return {cpuMs: usage.cpuMs, megabytes: usage.peakBytes / bytesPerMegabyte};
};

/** Measures `status` and `get`. */
export const measureOperatorTool = async (fleet: Fleet): Promise<Figures> => {
	const status = await runCommand(fleet, ['status']);
	const get = await runCommand(fleet, ['get', '--json']);
	return {
		toolStatusCpuMs: status.cpuMs,
		toolStatusPeakMegabytes: status.megabytes,
		toolGetCpuMs: get.cpuMs,
		toolGetPeakMegabytes: get.megabytes,
	};
};
