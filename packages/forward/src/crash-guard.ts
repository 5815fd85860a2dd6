/**
 * Recognizes requests that crash the endpoints that run them. A broken connection alone proves no crash: answers get lost on
 * sound endpoints, too. It counts once the endpoint refuses connections, has started anew or is gone soon after. Entries tell
 * each other, because such a request comes again at any of them.
 */
import {createHash} from 'node:crypto';
import {
	brandAs, SuspectRequests, type Clock, type Fingerprint,
} from '@hawthorncleat/core';
import type {AdmittedRequest} from './forward-types.js';

/** The registration of a crashed endpoint lapses within this time. */
const crashSeenMs = 6000;
/** Requests that merely ran beside the cause are at one or two crashes by chance. */
const quarantineMarks = 3;
/** A request that crashes endpoints comes again within seconds; one that ran beside the cause must not be refused for long. */
const suspectMs = 60_000;
/**
 * A request that crashes an endpoint comes again after it. Crashes that lie closer together had a common cause, and equal requests
 * of one caller may have run at each of them.
 */
const sameCauseMs = 500;
/** Marks are told again for this time, because datagrams get lost. */
const toldMs = 2000;
/** Most of them are from requests that ran beside the cause; a datagram has room for so many. */
const maxTold = 8;

/** A request that ran at a crash. */
export type CrashMark = {
	readonly fingerprint: Fingerprint;
	/** The endpoint that crashed. */
	readonly source: string;
};

type BrokenRequest = {readonly fingerprint: Fingerprint; readonly atMs: number};

export type CrashGuardOptions = {
	readonly clock: Clock;
	/** A crash has been found, with the requests that ran at it. */
	readonly onCrash: (crash: {readonly endpoint: string; readonly requests: number}) => void;
};

type FingerprintSource = Pick<AdmittedRequest, 'account' | 'body' | 'request'>;

const fingerprintOf = ({request, account, body}: FingerprintSource): Fingerprint => {
	const hash = createHash('sha256').update(`${request.method} ${request.target}\n${account?.name ?? ''}\n`);
	return brandAs<Fingerprint>(hash.update(body ?? '').digest('base64url').slice(0, 16));
};

export class CrashGuard {
	readonly #options: CrashGuardOptions;
	readonly #suspects: SuspectRequests;
	readonly #broken = new Map<string, BrokenRequest[]>();
	#told: Array<CrashMark & {readonly untilMs: number}> = [];

	constructor(options: CrashGuardOptions) {
		this.#options = options;
		this.#suspects = new SuspectRequests(options.clock, {quarantineCrashes: quarantineMarks, retentionMs: suspectMs, sameCauseWindowMs: sameCauseMs});
	}

	/** A request that had been sent to an endpoint broke off there. */
	noteBroken(endpoint: string, request: FingerprintSource): void {
		const atMs = this.#options.clock.nowMs();
		const recent = (this.#broken.get(endpoint) ?? []).filter(broken => atMs - broken.atMs < crashSeenMs);
		this.#broken.set(endpoint, [...recent, {fingerprint: fingerprintOf(request), atMs}]);
	}

	/** An endpoint has crashed: it refuses connections, has started anew, or is gone without notice. */
	noteCrash(endpoint: string): void {
		const nowMs = this.#options.clock.nowMs();
		const broken = (this.#broken.get(endpoint) ?? []).filter(({atMs}) => nowMs - atMs < crashSeenMs);
		this.#broken.delete(endpoint);
		const marked = broken.filter(({fingerprint}) => this.#suspects.recordCrash(fingerprint, endpoint));
		if (marked.length > 0) {
			this.#told.push(...marked.map(({fingerprint}) => ({fingerprint, source: endpoint, untilMs: nowMs + toldMs})));
			this.#options.onCrash({endpoint, requests: marked.length});
		}
	}

	/** Time until a request may run again; undefined when it may run now. */
	quarantinedMs(request: FingerprintSource): number | undefined {
		if (this.#suspects.size === 0) {
			return undefined;
		}

		const fingerprint = fingerprintOf(request);
		return this.#suspects.classify(fingerprint) === 'quarantined' ? this.#suspects.retryAfterMs(fingerprint) : undefined;
	}

	/** Marks that the other entries are told. Those closest to quarantine come first. */
	untold(): CrashMark[] {
		const nowMs = this.#options.clock.nowMs();
		this.#told = this.#told.filter(({untilMs}) => nowMs < untilMs);
		return this.#told
			.toSorted((a, b) => this.#suspects.countCrashes(b.fingerprint) - this.#suspects.countCrashes(a.fingerprint))
			.slice(0, maxTold)
			.map(({fingerprint, source}) => ({fingerprint, source}));
	}

	hear(marks: readonly CrashMark[]): void {
		for (const {fingerprint, source} of marks) {
			this.#suspects.recordCrash(fingerprint, source);
		}
	}

	/** A request has run to its end; equal ones, such as the reads of one path, crash nothing. */
	noteServed(request: FingerprintSource): void {
		if (this.#suspects.size > 0) {
			this.#suspects.clear(fingerprintOf(request));
		}
	}
}
