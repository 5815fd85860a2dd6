/**
 * What the modules that serve one request work with.
 */
import type {Clock, Random, RetryWindow} from '@hawthorncleat/core';
import type {CrashGuard} from '../quarantines/crash-guard.js';
import type {AnswerListener} from '../endpoints/endpoint-answer.js';
import type {EndpointPool} from '../endpoints/endpoint-pool.js';
import type {LoadTracker} from '../endpoints/load-tracker.js';
import type {WireFormat} from '../ports.js';
import type {ResumedStreams} from '../streams/resumed-streams.js';
import type {AttemptReport, StallReport} from './attempt-report.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {StopTimes} from './stop-times.js';

export type ForwardDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly wire: WireFormat;
	readonly answerListener: AnswerListener;
	readonly pool: EndpointPool;
	readonly load: LoadTracker;
	readonly streams: Pick<ResumedStreams, 'findVersion' | 'recordBegun' | 'serviceOf'>;
	readonly dataCentre: string;
	readonly stop: StopTimes;
	readonly retryWindowOf: (service: string) => RetryWindow;
	/** Called with the service of each request, for the shares in the limits of its endpoints. */
	readonly onRequest: (service: string) => void;
	/** Called when an endpoint has begun to run a request, so that it counts as usage of its account. */
	readonly onRun: (admitted: AdmittedRequest) => void;
	readonly crashes: Pick<
		CrashGuard,
		| 'checkEndpoint' | 'quarantineRemainingMs' | 'recordAllowedRequest' | 'recordArrival' | 'recordBrokenRequest' | 'recordCompletedRequest' | 'recordCompletedRun'
		| 'recordCrash' | 'recordStart'
	>;
	readonly onAttempt: (admitted: AdmittedRequest, attempt: AttemptReport) => void;
	readonly onStall: (admitted: AdmittedRequest, stall: StallReport) => void;
};
