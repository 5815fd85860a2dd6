/**
 * Processor time and memory of another process, as Linux reports them.
 */
import {readdir, readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';

const kibibyte = 1024;
const nsPerMs = 1e6;

/** Resident memory in bytes from the text of `/proc/<pid>/status`; a process without memory has none. */
export const parseResidentBytes = (status: string): number => {
	const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
	return match ? Number(match[1]) * kibibyte : 0;
};

/** The largest resident memory so far in bytes. */
export const parsePeakBytes = (status: string): number => {
	const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
	return match ? Number(match[1]) * kibibyte : 0;
};

/** Processor time in milliseconds from the text of a `schedstat` file. */
export const parseCpuMs = (schedstat: string): number => {
	const cpuNs = Number(schedstat.split(' ')[0]);
	if (!Number.isFinite(cpuNs) || schedstat.trim() === '') {
		throw new RangeError(`not a schedstat line: ${JSON.stringify(schedstat)}`);
	}

	return cpuNs / nsPerMs;
};

/** Processor time of all threads in milliseconds. The clock ticks of `/proc/<pid>/stat` are too coarse for rest. */
export const readCpuMs = async (pid: number): Promise<number> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const times = await Promise.all(threads.map(async thread =>
		parseCpuMs(await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8'))));
	return times.reduce((sum, time) => sum + time, 0);
};

/** Resident memory in bytes. */
export const readResidentBytes = async (pid: number): Promise<number> =>
	parseResidentBytes(await readFile(`/proc/${pid}/status`, 'utf8'));

/** What a short command used, read just before it ended. */
export type CommandUsage = {readonly cpuMs: number; readonly peakBytes: number};

/** Reads the usage of a process again and again until it has ended. */
export const watchUsage = async (pid: number, pollMs: number, hasEnded: () => boolean): Promise<CommandUsage> => {
	let usage: CommandUsage = {cpuMs: 0, peakBytes: 0};
	while (!hasEnded()) {
		const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
		const cpuMs = await readCpuMs(pid).catch(() => 0);
		usage = {cpuMs: Math.max(usage.cpuMs, cpuMs), peakBytes: Math.max(usage.peakBytes, parsePeakBytes(status))};
		await sleep(pollMs);
	}

	return usage;
};
