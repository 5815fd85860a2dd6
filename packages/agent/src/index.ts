export {orphanLimitMs, replayMs} from './stream-store.js';
export {startAgent, type Agent, type AgentDependencies} from './start-agent.js';
export {startAgentDaemon} from './start-daemon.js';
