/**
 * Runs the command line once.
 */
import {randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createParser, type RunCommand} from './command-line.js';
import type {CommandContext} from './context.js';
import {startAgent} from './daemons/agent.js';
import {startEntry} from './daemons/entry.js';
import {standIns} from './daemons/stand-ins.js';
import {exitCodes, isCommandError, type ExitCode} from './exit-codes.js';

/** 256 bits, so that a key cannot be guessed from its stored hash. */
const keyBytes = 32;

/** The prefix lets secret scanners recognise a key. */
const keyPrefix = 'hck_';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** Surroundings of a real process. */
export const createProcessContext = (exitNow: (code: number) => void): CommandContext => ({
	env: process.env,
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	printError(line) {
		process.stderr.write(`${line}\n`);
	},
	readText: async path => readFile(path, 'utf8'),
	makeKey: () => `${keyPrefix}${randomBytes(keyBytes).toString('base64url')}`,
	onStopSignal(listener, signal) {
		for (const name of stopSignals) {
			process.on(name, listener);
			signal.addEventListener('abort', () => {
				process.off(name, listener);
			});
		}
	},
	exitNow,
	start: {entry: startEntry, agent: startAgent, standIns},
});

const runSelected = async (context: CommandContext, run: RunCommand): Promise<ExitCode> => {
	try {
		return await run(context);
	} catch (error) {
		if (!isCommandError(error)) {
			throw error;
		}

		context.printError(error.message);
		return error.exitCode;
	}
};

type Parsed = {readonly run?: RunCommand; readonly error?: Error; readonly output: string};

const parse = async (args: readonly string[]): Promise<Parsed> => {
	let run: RunCommand | undefined;
	let error: Error | undefined;
	let output = '';
	const parser = createParser(selected => {
		run = selected;
	});
	await parser.parseAsync([...args], {}, (parseError, _, text) => {
		error = parseError ?? undefined;
		output = text;
	});
	return {run, error, output};
};

/** Runs one command and returns its exit code. */
export const main = async (args: readonly string[], context: CommandContext): Promise<ExitCode> => {
	const {run, error, output} = await parse(args);
	if (error) {
		context.printError(output);
		return exitCodes.wrongUsage;
	}

	if (run && output === '') {
		return runSelected(context, run);
	}

	context.print(output);
	return exitCodes.done;
};

/** Runs the command of this process and sets its exit code. */
export const runMain = async (exitNow: (code: number) => void): Promise<void> => {
	for (const output of [process.stdout, process.stderr]) {
		// Without a listener, the error of a pipe whose reader has gone would end a daemon with its running requests.
		output.on('error', () => undefined);
	}

	process.exitCode = await main(process.argv.slice(2), createProcessContext(exitNow));
};
