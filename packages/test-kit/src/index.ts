export {
	afterEach, beforeEach, describe, it,
} from './describe.js';
export {createManualClock, type ManualClock} from './clock.js';
