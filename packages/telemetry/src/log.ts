/**
 * The logger that the daemons are given. The command line decides the format and where the lines go.
 */

/** Structured values of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger by level. */
export type Log = {
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	debug(message: string, fields?: LogFields): void;
};

const ignore = (): void => {/* Logs nothing. */};

/** A logger without output, for tests and embedding. */
export const silentLog: Log = {
	info: ignore, warn: ignore, error: ignore, debug: ignore,
};
