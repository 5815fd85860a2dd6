/**
 * Quarantines requests that crash the endpoints that run them. A broken connection alone does not prove a crash, because
 * answers of healthy endpoints get lost, too. It counts as a crash if the endpoint refuses connections, restarts or disappears
 * soon after. Entries exchange crash reports by gossip, because the caller may retry the request at any entry.
 */
import {createHash} from 'node:crypto';
import {
	brandAs, SuspectRequests, type Clock, type Fingerprint,
} from '@hawthorncleat/core';
import type {AdmittedRequest} from './forward-types.js';

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
};

type BrokenRequest = {readonly fingerprint: Fingerprint; readonly atMs: number};

export type CrashGuardOptions = {
	readonly clock: Clock;
	/** Called when a crash is detected; `requests` is the number of new suspect requests. */
	readonly onCrash: (crash: {readonly endpoint: string; readonly requests: number}) => void;
};

type RequestContent = Pick<AdmittedRequest, 'account' | 'body' | 'request'>;

const fingerprintOf = ({request, account, body}: RequestContent): Fingerprint => {
	const hash = createHash('sha256').update(`${request.method} ${request.target}\n${account?.name ?? ''}\n`);
	return brandAs<Fingerprint>(hash.update(body ?? '').digest('base64url').slice(0, 16));
};

export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #suspects: SuspectRequests;
	readonly #brokenRequests = new Map<string, BrokenRequest[]>();
	#resentReports: Array<CrashReport & {readonly untilMs: number}> = [];

	constructor(options: CrashGuardOptions) {
		this.#options = options;
		this.#suspects = new SuspectRequests(options.clock, {quarantineCrashes, retentionMs: suspicionMs, sameCauseWindowMs: commonCauseMs});
	}

	/** Records that the connection broke after the request had been sent to the endpoint. */
	recordBrokenRequest(endpoint: string, request: RequestContent): void {
		const atMs = this.#options.clock.nowMs();
		const recent = (this.#brokenRequests.get(endpoint) ?? []).filter(broken => atMs - broken.atMs < crashDetectionMs);
		this.#brokenRequests.set(endpoint, [...recent, {fingerprint: fingerprintOf(request), atMs}]);
	}

	/** Records that an endpoint has crashed: it refuses connections, has restarted, or disappeared without leaving first. */
	recordCrash(endpoint: string): void {
		const nowMs = this.#options.clock.nowMs();
		const broken = (this.#brokenRequests.get(endpoint) ?? []).filter(({atMs}) => nowMs - atMs < crashDetectionMs);
		this.#brokenRequests.delete(endpoint);
		const suspects = broken.filter(({fingerprint}) => this.#suspects.recordCrash(fingerprint, endpoint));
		if (suspects.length > 0) {
			this.#resentReports.push(...suspects.map(({fingerprint}) => ({fingerprint, endpoint, untilMs: nowMs + resendMs})));
			this.#options.onCrash({endpoint, requests: suspects.length});
		}
	}

	/** Time until a quarantined request may run again; undefined if it is not quarantined. */
	quarantineRemainingMs(request: RequestContent): number | undefined {
		if (this.#suspects.size === 0) {
			return undefined;
		}

		const fingerprint = fingerprintOf(request);
		return this.#suspects.classify(fingerprint) === 'quarantined' ? this.#suspects.retryAfterMs(fingerprint) : undefined;
	}

	/** Crash reports to broadcast to the other entries, with the requests that are closest to quarantine first. */
	reportsToSend(): CrashReport[] {
		const nowMs = this.#options.clock.nowMs();
		this.#resentReports = this.#resentReports.filter(({untilMs}) => nowMs < untilMs);
		return this.#resentReports
			.toSorted((a, b) => this.#suspects.countCrashes(b.fingerprint) - this.#suspects.countCrashes(a.fingerprint))
			.slice(0, maxReportsPerMessage)
			.map(({fingerprint, endpoint}) => ({fingerprint, endpoint}));
	}

	applyPeerReports(reports: readonly CrashReport[]): void {
		for (const {fingerprint, endpoint} of reports) {
			this.#suspects.recordCrash(fingerprint, endpoint);
		}
	}

	/** Clears the suspicion against a request that has completed; equal requests, such as reads of one path, share its fingerprint. */
	recordCompletedRequest(request: RequestContent): void {
		if (this.#suspects.size > 0) {
			this.#suspects.clear(fingerprintOf(request));
		}
	}
}
