/**
 * Starts an agent as it runs in production: connected to the platform's table by its settings.
 */
import {createHttpClient, createTableClient} from '@hawthorncleat/store';
import type {AgentSettings} from '@hawthorncleat/schema';
import {startAgent, type Agent, type AgentDependencies} from './start-agent.js';

/** Starts the daemon. */
export const startAgentDaemon = async (
	settings: AgentSettings,
	dependencies: Omit<AgentDependencies, 'table'>,
	signal: AbortSignal,
): Promise<Agent> => {
	const table = createTableClient(createHttpClient({url: settings.platformUrl}, signal));
	return startAgent(settings, {...dependencies, table}, signal);
};
