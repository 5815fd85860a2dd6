import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {PooledEndpoint} from '../../endpoints/endpoint-pool.js';
import type {AttemptReport} from '../../requests/attempt-report.js';
import type {FailedAttempt} from '../../requests/attempt-result.js';
import {ForwardMetrics} from '../metrics.js';

const createReport = (changes: Partial<FailedAttempt>): AttemptReport => ({
	endpoint: 'i-1',
	tookMs: 1,
	furtherArrivals: 0,
	result: {
		kind: 'failed', failure: 'not-connected', detail: '', failedAt: {} as unknown as PooledEndpoint, ...changes,
	},
});

const readCount = async ({registry}: ForwardMetrics, name: string): Promise<number | undefined> => {
	const metric = await registry.getSingleMetric(name)?.get();
	return metric?.values[0]?.value;
};

describe('the metric of attempts placed again', () => {
	it('counts those withdrawn from their endpoint and no failures; guards against refused connections that look like departures', async () => {
		const metrics = new ForwardMetrics();
		for (const changes of [{isWithdrawn: true}, {isWithdrawn: true}, {}, {isDown: true}]) {
			metrics.countAttempt(createReport(changes));
		}

		assert.is(await readCount(metrics, 'hawthorncleat_forward_withdrawn_attempts_total'), 2);
		assert.is(await readCount(metrics, 'hawthorncleat_forward_attempts_total'), 4);
	});
});

describe('the metrics of control traffic', () => {
	it('count bytes by purpose and direction, and transfers that failed; guards against links that are filled by something that no figure shows', async () => {
		const metrics = new ForwardMetrics();
		metrics.countControlTransfer({purpose: 'config', direction: 'in', bytes: 700});
		metrics.countControlTransfer({purpose: 'config', direction: 'in', bytes: 300});
		metrics.countFailedControlTransfer('config');
		const text = await metrics.registry.metrics();
		assert.match(text, 'hawthorncleat_forward_control_bytes_total{purpose="config",direction="in"} 1000');
		assert.match(text, 'hawthorncleat_forward_control_transfers_total{purpose="config",result="whole"} 2');
		assert.match(text, 'hawthorncleat_forward_control_transfers_total{purpose="config",result="failed"} 1');
	});
});
