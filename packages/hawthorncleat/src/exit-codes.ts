/**
 * Exit codes of the command, a stable interface for scripts, and the error that carries one.
 */
import {BaseError} from '@hawthorncleat/core';

/** Exit codes as documented in docs/operators/installing.md. */
export const exitCodes = {
	done: 0,
	failed: 1,
	wrongUsage: 2,
	findings: 3,
	conflict: 4,
	unreachable: 5,
} as const;

/** One of the documented exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

const CommandErrorClass = BaseError.subclass('CommandError');

/** Ends the command with a message for the operator. */
export type CommandError = Error & {readonly exitCode: ExitCode};

/** Creates the error that ends the command with an exit code. */
export const createCommandError = (message: string, exitCode: ExitCode): CommandError =>
	new CommandErrorClass(message, {props: {exitCode}});

/** Tells a command error from any other error. */
export const isCommandError = (value: unknown): value is CommandError => value instanceof CommandErrorClass;
