/**
 * I8: no usage window is reported twice with different figures, nor by a process that has been succeeded. A report that
 * is sent again under the same epoch or a later one must have the same figures in whatever order.
 */
import type {UsageReport} from '@hawthorncleat/schema';
import type {Rule, Violation} from './rule.js';

const rule = 'usage-windows-once';

type Seen = {readonly report: UsageReport; readonly sequence: number};

const toText = ({figures}: UsageReport): string => JSON.stringify(figures
	.map(({clientAccount, promptTokens, outputTokens, serviceCalls}) => [clientAccount, promptTokens, outputTokens, serviceCalls])
	.toSorted((a, b) => String(a[0]) < String(b[0]) ? -1 : 1));

const judge = (earlier: UsageReport, later: UsageReport): string | undefined => {
	if (toText(earlier) !== toText(later)) {
		return 'was reported again with other figures';
	}

	return later.epoch < earlier.epoch ? `was reported with epoch ${later.epoch} after epoch ${earlier.epoch}` : undefined;
};

/** Finds windows that were reported twice with different figures, and reports of former holders. */
export const usageWindowsOnce: Rule = history => {
	const windows = new Map<string, Seen>();
	const violations: Violation[] = [];
	for (const {source, event, sequence} of history) {
		if (source !== 'platform' || event.kind !== 'usage-report') {
			continue;
		}

		const {report} = event;
		const id = `window ${report.window} of shard ${report.shard}`;
		const earlier = windows.get(id);
		const problem = earlier && judge(earlier.report, report);
		if (earlier && problem !== undefined) {
			violations.push({rule, problem: `${id} ${problem}`, sequences: [earlier.sequence, sequence]});
		}

		windows.set(id, {report, sequence});
	}

	return violations;
};
