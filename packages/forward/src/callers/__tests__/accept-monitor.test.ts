import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {AcceptMonitor} from '../accept-monitor.js';
import {DecisionLog} from '../../telemetry/decision-log.js';
import {ForwardMetrics} from '../../telemetry/metrics.js';

type Fixture = {
	readonly monitor: AcceptMonitor;
	readonly lines: Array<Record<string, unknown>>;
	/** Lets this many turns of the event loop pass in this time. */
	pass(turns: number, ms: number): void;
};

const createFixture = (): Fixture => {
	let nowMs = 0;
	let turns = 0;
	const lines: Array<Record<string, unknown>> = [];
	const log = new DecisionLog({nowMs: () => nowMs}, {
		write(line) {
			lines.push(JSON.parse(line) as Record<string, unknown>);
		},
		pendingBytes: () => 0,
	}, 'e1');
	return {
		monitor: new AcceptMonitor({
			nowMs: () => nowMs, log, metrics: new ForwardMetrics(), turns: () => turns,
		}),
		lines,
		pass(count, ms) {
			turns += count;
			nowMs += ms;
		},
	};
};

describe('the accept monitor', () => {
	it('counts the time for which each turn accepts a connection; guards against a long listening queue that nobody sees', () => {
		const {monitor, lines, pass} = createFixture();
		for (let turn = 0; turn < 20; turn += 1) {
			pass(1, 60);
			monitor.recordAccept();
		}

		assert.is(monitor.runMs, 19 * 60);
		monitor.check();
		assert.equal(lines.map(({event, accepted, turns, runMs}) => [event, accepted, turns, runMs]), [['accept', 20, 20, 1140]]);
	});

	it('starts again after a turn without a connection; guards against an alarm on a quiet entry', () => {
		const {monitor, lines, pass} = createFixture();
		for (let turn = 0; turn < 20; turn += 1) {
			pass(2, 60);
			monitor.recordAccept();
		}

		assert.is(monitor.runMs, 0);
		monitor.check();
		assert.equal(lines, []);
	});

	it('measures the rate of accepted connections while some wait; guards against a queue as long as in quiet times', () => {
		const {monitor, pass} = createFixture();
		const accept = (turns: number): void => {
			for (let turn = 0; turn < turns; turn += 1) {
				pass(1, 50);
				monitor.recordAccept();
				monitor.check();
			}
		};

		pass(100, 5000);
		monitor.check();
		accept(1);
		assert.is(monitor.waitingRate, undefined);
		accept(10);
		assert.is(monitor.waitingRate, 20);
		pass(100, 900);
		monitor.check();
		assert.is(monitor.waitingRate, 20);
		pass(10, 200);
		monitor.check();
		assert.is(monitor.waitingRate, undefined);
	});

	it('writes one line a second for requests whose callers had left; guards against a flood of lines in an overload', () => {
		const {monitor, lines, pass} = createFixture();
		for (let turn = 0; turn < 300; turn += 1) {
			pass(5, 10);
			monitor.recordLeft();
			monitor.check();
		}

		assert.equal(lines.map(({left}) => left), [100, 100, 100]);
	});
});
