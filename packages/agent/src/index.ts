export {orphanLimitMs, replayMs} from './request-runner.js';
export {startAgent, type Agent, type AgentDependencies} from './start-agent.js';
