/**
 * Processor time and memory of another process, as Linux reports them.
 */
import {readdir, readFile} from 'node:fs/promises';

const kibibyte = 1024;
const nsPerMs = 1e6;

/** Resident memory in bytes from the text of `/proc/<pid>/status`; a process without memory has none. */
export const parseResidentBytes = (status: string): number => {
	const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
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
