/**
 * What the requests of an agent are run with.
 */
import type {Clock, EngineOrderRole} from '@hawthorncleat/core';
import type {Log, Tracing} from '@hawthorncleat/telemetry';
import type {CrashMarks} from './crash-marks.js';
import type {EngineClient} from './engine-client.js';
import type {AgentMetrics} from './metrics.js';
import type {SchedulerLimits} from './request-scheduler.js';

export type RequestRunnerOptions = {
	readonly limits: SchedulerLimits;
	/** The engine's role. */
	readonly role: () => EngineOrderRole;
	readonly engine: EngineClient;
	readonly clock: Clock;
	readonly log: Log;
	readonly tracing: Tracing;
	readonly metrics: AgentMetrics;
	readonly marks: CrashMarks;
	/** Asks the engine for its state, after a connection broke, and tells whether its port takes no connections any more. */
	readonly isEngineGone: () => Promise<boolean>;
	/** Whether requests may be sent to the engine at the moment. */
	readonly mayStart: () => boolean;
	/** Where other engines fetch KV cache from this one. */
	readonly kvUrl: string;
	/** Hears every prompt that an entry sends here. */
	readonly notePrompt: (prompt: string) => void;
	/** Tells all entries that these requests ran when the engine crashed. */
	readonly onCrash: (fingerprints: string[]) => void;
};
