export {main} from './main.js';
export {
	isUndisturbed, type Rule, type SoakRecord, type Violation,
} from './record.js';
export {rules} from './rules/index.js';
export {runSeed, type SeedOptions, type SeedResult} from './run-seed.js';
