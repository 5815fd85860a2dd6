/**
 * A short run of the soak with real processes. Longer runs are started by hand with `npm run soak`.
 */
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {runSeed} from '../run-seed.js';

const seeds = [1];
const durationMs = 8000;

describe('the fault soak', () => {
	for (const seed of seeds) {
		it(`keeps every promise, seed ${seed}; guards against promises that hold only without faults`, async () => {
			const {violations, calls, served} = await runSeed({seed, durationMs});
			assert.equal(violations, []);
			assert.ok(served > 500, `only ${served} of ${calls} calls were served`);
		});
	}
});
