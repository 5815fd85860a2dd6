/**
 * Wiring of the agent daemon.
 */
import type {AgentSettings} from '@hawthorncleat/schema';
import {loadFunction, type StartDaemon} from './start.js';

/** Starts an agent. */
export const startAgent: StartDaemon<AgentSettings> = async (settings, deps, signal) => {
	const start = await loadFunction<StartDaemon<AgentSettings>>('@hawthorncleat/agent', 'startAgentDaemon');
	return start(settings, deps, signal);
};
