/**
 * One child process: started, signalled by its process id and awaited. A child never outlives this process in an
 * ordinary exit, nor the signal that it was started with.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

const maxOutputLength = 64 * 1024;

/** How a child ended. */
export type ChildExit = {readonly code: number | null; readonly signal: NodeJS.Signals | null};

/** What a child is started with. */
export type ChildOptions = {
	readonly command: readonly string[];
	readonly env?: Readonly<Record<string, string>>;
	readonly onLine?: (line: string) => void;
};

/** A child process. */
export type Child = {
	readonly pid: number;
	readonly isRunning: boolean;
	/** The newest part of its output on both streams. */
	readonly output: string;
	readonly exited: Promise<ChildExit>;
	/** Sends a signal, unless the process has ended. */
	signal(name: NodeJS.Signals): void;
	/** SIGKILL, also when paused; settles when the process has ended. */
	kill(): Promise<ChildExit>;
	/** SIGTERM; settles when the process has ended by itself. */
	stop(): Promise<ChildExit>;
};

const splitLines = (onLine: (line: string) => void): (chunk: string) => void => {
	let rest = '';
	return chunk => {
		const lines = (rest + chunk).split('\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			onLine(line);
		}
	};
};

const running = new Set<Child>();

process.on('exit', () => {
	for (const child of running) {
		child.signal('SIGKILL');
	}
});

/** Starts a child, which is killed when `signal` aborts. */
export const startChild = ({command, env, onLine}: ChildOptions, signal: AbortSignal): Child => {
	signal.throwIfAborted();
	const [file, ...args] = command;
	const spawned = spawn(file!, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}});
	let output = '';
	let isRunning = true;
	const readLines = splitLines(onLine ?? (() => undefined));
	const append = (chunk: string): void => {
		output = (output + chunk).slice(-maxOutputLength);
	};

	spawned.stdout.setEncoding('utf8').on('data', (chunk: string) => {
		append(chunk);
		readLines(chunk);
	});
	spawned.stderr.setEncoding('utf8').on('data', append);
	const kill = (): void => {
		child.signal('SIGKILL');
	};

	const waitForExit = async (): Promise<ChildExit> => {
		const [code, signalName] = await once(spawned, 'close') as [number | null, NodeJS.Signals | null];
		isRunning = false;
		running.delete(child);
		signal.removeEventListener('abort', kill);
		return {code, signal: signalName};
	};

	const child: Child = {
		pid: spawned.pid ?? 0,
		get isRunning() {
			return isRunning;
		},
		get output() {
			return output;
		},
		exited: waitForExit(),
		signal(name) {
			if (isRunning) {
				spawned.kill(name);
			}
		},
		async kill() {
			child.signal('SIGKILL');
			return child.exited;
		},
		async stop() {
			child.signal('SIGTERM');
			return child.exited;
		},
	};
	running.add(child);
	signal.addEventListener('abort', kill, {once: true});
	return child;
};
