/**
 * What the handlers of the caller interface use.
 */
import type {HopSpan} from '@hawthorncleat/telemetry';
import type {AccountLimits} from './account-limits.js';
import type {AnswerConnections} from './answer-connections.js';
import type {CallerConnection} from './caller-connection.js';
import type {
	Claims, ConfigSource, EntryDeps, FreshnessCheck,
} from './deps.js';
import type {RequestContext} from './request-context.js';
import type {RunningRequests} from './running-requests.js';
import type {UsageRecorder} from './usage-flush.js';

export type CallerContext = RequestContext & {
	readonly wallClock: EntryDeps['wallClock'];
	readonly config: ConfigSource;
	readonly freshness: FreshnessCheck;
	readonly claims: Claims;
	readonly limits: AccountLimits;
	readonly usage: UsageRecorder;
	readonly running: RunningRequests;
	readonly connections: AnswerConnections;
	readonly retryAfterMs: number;
	readonly bodyLimits: {readonly maxBodyBytes: number; readonly bodyTimeoutMs: number};
};

/** One request of a caller. */
export type IncomingCall = {
	readonly requestId: string;
	readonly connection: CallerConnection;
	readonly url: URL;
	/** The caller's key. It is used to find the account and goes no further. */
	readonly key: string | undefined;
	readonly span: HopSpan;
	readonly receivedMs: number;
};
