/**
 * The logger interface of the daemons. The command-line program provides the implementation, which decides the format and
 * the destination of the lines.
 */

/** Structured values of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger with one method for each level. */
export type Log = {
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	debug(message: string, fields?: LogFields): void;
};

const discard = (): void => {/* Nothing is logged. */};

/** A logger without output, for tests and embedding. */
export const silentLog: Log = {
	info: discard, warn: discard, error: discard, debug: discard,
};
