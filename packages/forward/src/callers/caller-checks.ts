/**
 * Checks of the callers' connections that are repeated all the time: closes those that take too long with the head of a request, and tells in a log line when
 * limits have acted.
 */
import type {CallerLimits} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {CallerConnections, CloseReason} from './caller-connections.js';
import type {HeldBytes} from './held-bytes.js';

const checkIntervalMs = 1000;
/** What was sent within the configured limit arrives within this time after it. */
const marginMs = 1000;
/** Limits that callers within the configured ones do not meet. */
const loggedReasons: ReadonlySet<CloseReason> = new Set(['connection-limit', 'head-limit', 'pipeline-limit', 'unread-limit', 'unused-limit']);

export type CallerChecksOptions = {
	readonly nowMs: () => number;
	readonly connections: Pick<CallerConnections, 'closeLate' | 'closed'>;
	readonly heldBytes: Pick<HeldBytes, 'held' | 'refused'>;
	readonly limits: () => CallerLimits | undefined;
	readonly log: DecisionLog;
};

export class CallerChecks {
	readonly #options: CallerChecksOptions;
	#checkedMs = Number.NEGATIVE_INFINITY;
	#logged = '';

	constructor(options: CallerChecksOptions) {
		this.#options = options;
	}

	/** Checks if the last check is old enough. */
	run(): void {
		const nowMs = this.#options.nowMs();
		if (nowMs - this.#checkedMs < checkIntervalMs) {
			return;
		}

		this.#checkedMs = nowMs;
		this.#logChanges();
		const limits = this.#options.limits();
		if (limits) {
			void this.#options.connections.closeLate({headMs: limits.headerTimeoutMs + marginMs, unusedMs: limits.idleTimeoutMs + marginMs});
		}
	}

	/** Writes at most one line in each check, with the numbers since the start. */
	#logChanges(): void {
		const {heldBytes, connections, log} = this.#options;
		const closed = Object.fromEntries(Object.entries(connections.closed).filter(([reason]) => loggedReasons.has(reason as CloseReason)));
		const counts = {noMemory: heldBytes.refused, closed};
		const text = JSON.stringify(counts);
		if (text !== this.#logged && (heldBytes.refused > 0 || Object.keys(closed).length > 0)) {
			log.write('caller-limits', {...counts, heldBytes: heldBytes.held});
		}

		this.#logged = text;
	}
}
