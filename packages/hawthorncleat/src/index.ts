export {main, runMain, createProcessContext} from './main.js';
export type {CommandContext, Starters} from './context.js';
export {exitCodes, type ExitCode} from './exit-codes.js';
export {
	createDaemonDeps, createLog, type DaemonDeps, type RunningDaemon, type StartDaemon,
} from './daemons/start.js';
export {startLocalFleet, type LocalFleet, type LocalOptions} from './daemons/local-fleet.js';
