import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {plant, platform} from '../../__fixtures__/planted.js';
import type {HistoryEvent} from '../../history.js';
import {usageWindowsOnce} from '../usage-windows-once.js';

const problems = (...events: readonly HistoryEvent[]): string[] => usageWindowsOnce(plant(...events)).map(({problem}) => problem);

const figure = (clientAccount: string, promptTokens: number) => ({
	clientAccount, promptTokens, outputTokens: 1, serviceCalls: 0,
});

const reported = (window: string, epoch: number, ...figures: ReadonlyArray<ReturnType<typeof figure>>): HistoryEvent => platform({
	kind: 'usage-report',
	report: {
		window, shard: 0, epoch, figures: [...figures],
	},
	repeated: false,
});

describe('usage-windows-once', () => {
	it('refuses other figures for one window; guards against a second holder that counts anew', () => {
		assert.equal(
			problems(reported('w1', 1, figure('planning', 5)), reported('w1', 2, figure('planning', 6))),
			['window w1 of shard 0 was reported again with other figures'],
		);
	});
	it('refuses a report of a former holder; guards against a paused reporter', () => {
		assert.equal(
			problems(reported('w1', 2, figure('planning', 5)), reported('w1', 1, figure('planning', 5))),
			['window w1 of shard 0 was reported with epoch 1 after epoch 2'],
		);
	});
	it('accepts the same figures in another order, and other windows; guards against false alarms', () => {
		assert.equal(problems(
			reported('w1', 1, figure('planning', 5), figure('warehouse', 2)),
			reported('w1', 2, figure('warehouse', 2), figure('planning', 5)),
			reported('w2', 2, figure('planning', 9)),
		), []);
	});
});
