export {
	afterEach, beforeEach, describe, it,
} from './describe.js';
export {createManualClock, systemClock, type ManualClock} from './clock.js';
export {findFreePort, loopback, resetPortAllocation} from './ports.js';
export {createSeededRandom} from './random.js';
export {spoiledTexts} from './spoiled-texts.js';
export {waitUntil, type WaitOptions} from './wait-until.js';
