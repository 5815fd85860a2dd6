export {
	afterEach, beforeEach, describe, it,
} from './describe.js';
export {createManualClock, type ManualClock} from './clock.js';
export {findFreePort, loopback} from './ports.js';
export {waitUntil, type WaitOptions} from './wait-until.js';
