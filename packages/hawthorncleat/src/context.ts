/**
 * What commands need from their surroundings, passed in so that tests run them without a process of their own.
 */
import type {EntrySettings, AgentSettings} from '@hawthorncleat/schema';
import type {StartDaemon} from './daemons/start.js';
import type {StandIns} from './daemons/stand-ins.js';

/** Start functions of the daemons. */
export type Starters = {
	readonly entry: StartDaemon<EntrySettings>;
	readonly agent: StartDaemon<AgentSettings>;
	readonly standIns: StandIns;
};

/** Surroundings of one run of the command. */
export type CommandContext = {
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly start: Starters;
	print(line: string): void;
	printError(line: string): void;
	readText(path: string): Promise<string>;
	/** Makes a new random key for a caller. */
	makeKey(): string;
	/** Calls the listener on each SIGTERM and SIGINT until the signal aborts. */
	onStopSignal(listener: () => void, signal: AbortSignal): void;
	/** Ends the process without any clean-up. */
	exitNow(code: number): void;
};
