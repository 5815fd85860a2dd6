export {main} from './main.js';
export {runOnce, type RunResult} from './run.js';
export {runTask} from './run-task.js';
export {runSuite, type Bound, type SuiteResult} from './suite.js';
export {summarise, type Spread, type Summary} from './summary.js';
