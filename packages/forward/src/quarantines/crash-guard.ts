/**
 * Quarantines requests that crash the endpoints that run them. A broken connection alone does not prove a crash, because
 * answers of healthy endpoints get lost, too. It counts as a crash if the endpoint refuses connections, restarts or disappears
 * soon after; to find out before the request is tried elsewhere, the entry opens a connection itself. Entries exchange crash reports and quarantines by gossip,
 * because the caller may retry the request at any entry.
 */
import {createHash} from 'node:crypto';
import {
	brandAs, SuspectRequests, type Clock, type EntryPosition, type Fingerprint, type RegisteredEndpoint, type RequestQuarantine, type SegmentKey, type SegmentQuarantine,
} from '@hawthorncleat/core';
import {segmentKeysOf, type AdmittedRequest} from '../requests/admitted-request.js';
import type {RequestNews, ToldRequest} from './request-news.js';
import {RequestQuarantines, type RequestChange} from './request-quarantines.js';
import {SegmentQuarantines, type SegmentNews, type SentQuarantine} from './segment-quarantines.js';

/** The registration of a crashed endpoint expires within this time, so a crash is detected within it. */
const crashDetectionMs = 6000;
/** A request that merely runs beside the one that crashes endpoints is present at one or two crashes by chance. */
const quarantineCrashes = 3;
/**
 * A request that crashes endpoints is retried within seconds. Suspicion expires after this time so that a request that merely ran
 * beside it is not rejected for long.
 */
const suspicionMs = 60_000;
/**
 * A request that crashes an endpoint is retried after the crash. Crashes that are closer together than this have another common
 * cause, and equal requests of one caller may have run at each of the endpoints, so these crashes count once.
 */
const commonCauseMs = 500;
/** Crash reports are sent again for this time, because datagrams get lost. */
const resendMs = 2000;
/** Most reports are of requests that merely ran beside the cause; this many fit into a datagram. */
const maxReportsPerMessage = 8;

/** Reports that a request was running at an endpoint that crashed. */
export type CrashReport = {
	readonly fingerprint: Fingerprint;
	readonly endpoint: string;
	/** Time since the crash. */
	readonly ageMs: number;
	/** Crashes of this request that the sender counts. */
	readonly crashes: number;
};

type BrokenRequest = {
	readonly fingerprint: Fingerprint;
	readonly startedMs: number;
	readonly atMs: number;
	/** Its shared prompt segments, if its run had just begun. */
	readonly segments: readonly SegmentKey[];
};

/** When a run whose connection broke was sent, and whether the engine had just begun to decode or was about to. */
export type BrokenRun = {readonly startedMs: number; readonly hasJustBegun: boolean};

type ResentReport = Pick<CrashReport, 'endpoint' | 'fingerprint'> & {readonly atMs: number; readonly untilMs: number};

export type CrashGuardOptions = {
	readonly clock: Clock;
	/** Position of this entry among the live ones. */
	readonly position: () => EntryPosition;
	/** Whether the endpoint refuses connections, as it does when its process has crashed. */
	readonly refusesConnections: (endpoint: RegisteredEndpoint) => Promise<boolean>;
	/** Called when a crash is detected; `requests` is the number of new suspect requests. */
	readonly onCrash: (crash: {readonly endpoint: string; readonly requests: number}) => void;
	/** Called when this entry quarantines a prompt segment, or adopts its quarantine. */
	readonly onQuarantine: (quarantine: SegmentQuarantine) => void;
	readonly onAdoption: (quarantine: SegmentQuarantine) => void;
	/** Called when a run of this entry tries a prompt segment whose quarantine has ended. */
	readonly onTrial: (quarantine: SegmentQuarantine) => void;
	/** Called when the quarantine of a prompt segment has ended early: a run with it has completed, or its crashes are put down to another segment. */
	readonly onQuarantineEnd: (segment: SegmentKey) => void;
	/** Called when a request comes into quarantine, is tried after it, or is free again. */
	readonly onRequestChange: (change: RequestChange) => void;
};

type RequestContent = Pick<AdmittedRequest, 'account' | 'body' | 'request' | 'service'>;

const fingerprintOf = ({request, account, body}: RequestContent): Fingerprint => {
	const hash = createHash('sha256').update(`${request.method} ${request.target}\n${account?.name ?? ''}\n`);
	return brandAs<Fingerprint>(hash.update(body ?? '').digest('base64url').slice(0, 16));
};

export class CrashGuard {
	/** Bodies can be large, and a request is looked up several times. */
	readonly #fingerprints = new WeakMap<AdmittedRequest['request'], Fingerprint>();
	readonly #options: CrashGuardOptions;
	readonly #suspects: SuspectRequests;
	readonly #quarantines: RequestQuarantines;
	readonly #segments: SegmentQuarantines;
	readonly #brokenRequests = new Map<string, BrokenRequest[]>();
	readonly #checks = new Map<string, Promise<void>>();
	#resentReports: ResentReport[] = [];

	constructor(options: CrashGuardOptions) {
		this.#options = options;
		this.#suspects = new SuspectRequests(options.clock, {quarantineCrashes, retentionMs: suspicionMs, sameCauseWindowMs: commonCauseMs});
		this.#quarantines = new RequestQuarantines({clock: options.clock, position: options.position, onChange: options.onRequestChange});
		this.#segments = new SegmentQuarantines(options);
	}

	/** Records that the connection broke after the request had been sent to the endpoint. */
	recordBrokenRequest(endpoint: string, request: RequestContent, {startedMs, hasJustBegun}: BrokenRun): void {
		const atMs = this.#options.clock.nowMs();
		this.#dropOldBrokenRequests(atMs);
		const recent = (this.#brokenRequests.get(endpoint) ?? []).filter(broken => atMs - broken.atMs < crashDetectionMs);
		this.#brokenRequests.set(endpoint, [...recent, {
			fingerprint: this.#fingerprintOf(request), startedMs, atMs, segments: hasJustBegun ? segmentKeysOf(request) : [],
		}]);
	}

	/** Finds out whether an endpoint whose connection broke has crashed, and records the crash. Calls for one endpoint share the check that runs. */
	async checkEndpoint(endpoint: RegisteredEndpoint): Promise<void> {
		const {id} = endpoint;
		const running = this.#checks.get(id);
		if (running) {
			return running;
		}

		const check = this.#recordCrashIfRefusing(endpoint);
		this.#checks.set(id, check);
		try {
			await check;
		} finally {
			this.#checks.delete(id);
		}
	}

	/** Records that an endpoint has crashed: it refuses connections, has restarted, or disappeared without leaving first. */
	recordCrash(endpoint: string): void {
		const nowMs = this.#options.clock.nowMs();
		const broken = (this.#brokenRequests.get(endpoint) ?? []).filter(({atMs}) => nowMs - atMs < crashDetectionMs);
		this.#brokenRequests.delete(endpoint);
		this.#segments.recordCrash(endpoint, broken, broken.at(-1)?.atMs ?? nowMs);
		const suspects = broken.filter(({fingerprint, startedMs, atMs}) => this.#suspects.recordCrash(fingerprint, endpoint, {atMs, runStartedMs: startedMs}));
		for (const {fingerprint} of suspects) {
			this.#quarantineIfDue(fingerprint, {isOwn: true});
		}

		if (suspects.length > 0) {
			this.#resentReports.push(...suspects.map(({fingerprint, atMs}) => ({
				fingerprint, endpoint, atMs, untilMs: nowMs + resendMs,
			})));
			this.#options.onCrash({endpoint, requests: suspects.length});
		}
	}

	/** Time until a quarantined request may run again; undefined if it is not quarantined. */
	quarantineRemainingMs(request: RequestContent): number | undefined {
		const segmentsMs = this.#segments.remainingMs(segmentKeysOf(request));
		return segmentsMs !== undefined || this.#quarantines.size === 0 ? segmentsMs : this.#quarantines.remainingMs(this.#fingerprintOf(request));
	}

	/** Records a request that has arrived, whether it may run or not. */
	recordArrival(request: RequestContent): void {
		this.#segments.recordArrival(segmentKeysOf(request));
		if (this.#quarantines.size > 0) {
			this.#quarantines.recordArrival(this.#fingerprintOf(request));
		}
	}

	/** Records a request that is allowed to run: a segment that many requests have is not the one that crashes engines. */
	recordAllowedRequest(request: RequestContent): void {
		this.#segments.recordRequest(segmentKeysOf(request));
	}

	/** Records that a run starts. Returns whether it is the one that tries the request, or a prompt segment of it, after its quarantine. */
	recordStart(request: RequestContent): boolean {
		const isSegmentTrial = this.#segments.recordStart(segmentKeysOf(request));
		const isRequestTrial = this.#quarantines.size > 0 && this.#quarantines.recordStart(this.#fingerprintOf(request));
		return isSegmentTrial || isRequestTrial;
	}

	/** Crash reports to broadcast to the other entries, with the requests that are closest to quarantine first. */
	reportsToSend(): CrashReport[] {
		const nowMs = this.#options.clock.nowMs();
		this.#resentReports = this.#resentReports.filter(({untilMs}) => nowMs < untilMs);
		return this.#resentReports
			.map(({fingerprint, endpoint, atMs}) => ({
				fingerprint, endpoint, ageMs: nowMs - atMs, crashes: this.#crashesToTell(fingerprint),
			}))
			.toSorted((a, b) => b.crashes - a.crashes)
			.slice(0, maxReportsPerMessage);
	}

	applyPeerReports(reports: readonly CrashReport[]): void {
		const nowMs = this.#options.clock.nowMs();
		for (const {fingerprint, endpoint, ageMs, crashes} of reports) {
			const isNew = this.#suspects.recordCrash(fingerprint, endpoint, {atMs: nowMs - ageMs});
			this.#suspects.adoptCount(fingerprint, crashes);
			if (isNew || crashes >= quarantineCrashes) {
				this.#quarantineIfDue(fingerprint, {isOwn: false});
			}
		}
	}

	/** Number of prompt segments in quarantine. */
	get quarantinedSegments(): number {
		return this.#segments.count;
	}

	/** Quarantines of prompt segments in effect. */
	get segmentQuarantines(): readonly SegmentQuarantine[] {
		return this.#segments.quarantines;
	}

	/** News about prompt segments for the other entries. */
	segmentNewsToSend(receivers: string): SegmentNews {
		return this.#segments.newsToSend(receivers);
	}

	applyPeerSegmentNews(news: SegmentNews): void {
		this.#segments.applyPeerNews(news);
	}

	/** Number of requests that must not run now. */
	get quarantinedRequests(): number {
		return this.#quarantines.heldCount;
	}

	/** Requests that are or have been in quarantine. */
	get requestQuarantines(): readonly RequestQuarantine[] {
		return this.#quarantines.remembered;
	}

	/** News about requests in quarantine for the other entries. */
	requestNewsToSend(receivers: string): RequestNews {
		return this.#quarantines.newsToSend(receivers);
	}

	applyPeerRequestNews(news: RequestNews): void {
		for (const fingerprint of this.#quarantines.applyPeerNews(news)) {
			this.#suspects.clear(fingerprint);
		}
	}

	/** Adopts quarantines that were kept in the store. */
	restoreQuarantines({segments, requests}: {readonly segments: readonly SentQuarantine[]; readonly requests: readonly ToldRequest[]}): void {
		this.#segments.adopt(segments);
		this.#quarantines.restore(requests);
	}

	/** Clears the segments of a run that has completed of the suspicion that they crash engines. `beganMs`: time of its first token, or of its start. */
	recordCompletedRun(request: RequestContent, beganMs: number): void {
		this.#segments.recordCompletedRun(segmentKeysOf(request), beganMs);
	}

	/** Clears the suspicion against a request that has completed; equal requests, such as reads of one path, share its fingerprint. */
	recordCompletedRequest(request: RequestContent): void {
		if (this.#suspects.size + this.#quarantines.size > 0) {
			const fingerprint = this.#fingerprintOf(request);
			this.#suspects.clear(fingerprint);
			this.#quarantines.recordCompleted(fingerprint);
		}
	}

	#fingerprintOf(content: RequestContent): Fingerprint {
		const {request} = content;
		const fingerprint = this.#fingerprints.get(request) ?? fingerprintOf(content);
		this.#fingerprints.set(request, fingerprint);
		return fingerprint;
	}

	#quarantineIfDue(fingerprint: Fingerprint, {isOwn}: {readonly isOwn: boolean}): void {
		this.#quarantines.recordCrash(fingerprint, {isConfirmed: this.#suspects.classify(fingerprint) === 'quarantined', isOwn});
	}

	/** A quarantined request is told as such, because its first crashes no longer count when it has begun anew. */
	#crashesToTell(fingerprint: Fingerprint): number {
		const count = this.#suspects.countCrashes(fingerprint);
		return this.#quarantines.remainingMs(fingerprint) === undefined ? count : Math.max(count, quarantineCrashes);
	}

	/** Forgets endpoints that have not crashed; ids of endpoints are new after each replacement. */
	#dropOldBrokenRequests(nowMs: number): void {
		for (const [endpoint, broken] of this.#brokenRequests) {
			if (broken.every(({atMs}) => nowMs - atMs >= crashDetectionMs)) {
				this.#brokenRequests.delete(endpoint);
			}
		}
	}

	async #recordCrashIfRefusing(endpoint: RegisteredEndpoint): Promise<void> {
		if (await this.#options.refusesConnections(endpoint)) {
			this.recordCrash(endpoint.id);
		}
	}
}
