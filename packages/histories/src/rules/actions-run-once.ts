/**
 * I11: an action runs at most once. Two orders are the same action if the agent gave them one action id, or if they come
 * from one account with one content, which callers of these tests make from the action key. The second does not depend
 * on how the product computes its ids.
 */
import type {HistoryRecord} from '../history.js';
import type {Rule, Violation} from './rule.js';

const rule = 'actions-run-once';

const identify = ({source, event}: HistoryRecord): string[] => {
	if (source !== 'service' || event.kind !== 'order') {
		return [];
	}

	const {actionId, headers, body} = event.call;
	const content = `content ${String(headers['x-client-account'])} ${body}`;
	return actionId === undefined ? [content] : [content, `id ${actionId}`];
};

/** Finds actions that took effect more than once, at one service or at several. */
export const actionsRunOnce: Rule = history => {
	const first = new Map<string, number>();
	const violations: Violation[] = [];
	for (const record of history) {
		for (const id of identify(record)) {
			const earlier = first.get(id);
			if (earlier === undefined) {
				first.set(id, record.sequence);
			} else {
				violations.push({rule, problem: `the action ${id} ran again`, sequences: [earlier, record.sequence]});
			}
		}
	}

	return violations;
};
