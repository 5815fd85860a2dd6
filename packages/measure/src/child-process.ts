/**
 * Starts processes and stops exactly those, by their own handle.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const stopLimitMs = 5000;
const pollMs = 50;
const readyLimitMs = 30_000;

/** The built command line of hawthorncleat. */
export const daemonScript = fileURLToPath(new URL('../../hawthorncleat/bin/hawthorncleat.js', import.meta.url));
/** The bin of this package. */
export const measureScript = fileURLToPath(new URL('../bin/measure.js', import.meta.url));

/** A started process. */
export type StartedProcess = {readonly pid: number; readonly child: ChildProcess};

/** Starts Node; its errors go to this process's standard error. */
export const startNode = (args: readonly string[], signal: AbortSignal): StartedProcess => {
	const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
	if (child.pid === undefined) {
		throw new Error(`could not start node ${args.join(' ')}`);
	}

	signal.addEventListener('abort', () => {
		void stop(child);
	}, {once: true});
	return {pid: child.pid, child};
};

const stop = async (child: ChildProcess): Promise<void> => {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopLimitMs);
	child.kill('SIGTERM');
	await once(child, 'exit');
	clearTimeout(timer);
};

/** Reads the first line of standard output. */
export const readFirstLine = async ({child}: StartedProcess): Promise<string> => {
	let text = '';
	for await (const chunk of child.stdout!) {
		text += String(chunk);
		if (text.includes('\n')) {
			break;
		}
	}

	return text.split('\n')[0]!;
};

/** Runs a command of this package to its end and parses the JSON that it prints. */
export const runToJson = async (args: readonly string[]): Promise<unknown> => {
	const {child} = startNode(args, new AbortController().signal);
	let text = '';
	child.stdout!.on('data', chunk => {
		text += String(chunk);
	});
	const [code] = await once(child, 'close') as [number | null];
	if (code !== 0) {
		throw new Error(`node ${args.join(' ')} ended with ${code}`);
	}

	return JSON.parse(text);
};

/** Repeats an attempt until it succeeds, and rejects with its last error after the limit. */
export const retryUntil = async (attempt: () => Promise<void>): Promise<void> => {
	const startedAt = performance.now();
	for (;;) {
		try {
			await attempt();
			return;
		} catch (error) {
			if (performance.now() - startedAt > readyLimitMs) {
				throw error;
			}
		}

		await sleep(pollMs);
	}
};
