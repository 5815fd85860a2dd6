export {orphanLimitMs, replayMs} from './stream-store.js';
export {startAgent, type Agent, type AgentDependencies} from './start-agent.js';
