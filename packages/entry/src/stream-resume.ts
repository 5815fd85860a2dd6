/**
 * Resumes the stream of one attempt at its agent: after a gap or a lost connection, and when the agent is asked to send again.
 */
import type {RequestStartParams} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';
import {classifyCallError, isConnectionLoss, type AttemptFailure} from './attempt-failure.js';
import type {Endpoint} from './endpoint.js';

const resumeTimeoutMs = 3000;
/** An agent cancels a stream that has had no listener for this long. */
const retentionMs = 10_000;
/** An agent that leaves more gaps than this in one stream is not able to deliver it. */
const maxResumes = 5;
/** An agent's answer to a resume of a stream that it does not hold. */
const unknownRequestCode = 'unknown-request';

export type StreamResumeOptions = {
	readonly endpoint: Endpoint;
	readonly params: Pick<RequestStartParams, 'attempt' | 'incarnation' | 'requestId'>;
	readonly resumeWaitMs: number;
	/** Index of the next token. */
	readonly position: () => number;
	/** Whether the attempt has ended. */
	readonly isSettled: () => boolean;
	/** Called while there is no connection; returns whether another attempt is certain to take over. */
	readonly claimNextAttempt: () => boolean;
	readonly fail: (failure: AttemptFailure) => void;
};

/** The resumes of one stream, at most one at a time. */
export class StreamResume {
	readonly #options: StreamResumeOptions;
	#isRunning = false;
	#resumes = 0;

	constructor(options: StreamResumeOptions) {
		this.#options = options;
	}

	/** Resumes the stream at the next position, on a new connection if the old one is lost. */
	async recover(): Promise<void> {
		if (this.#isRunning || this.#options.isSettled()) {
			return;
		}

		this.#isRunning = true;
		try {
			await this.#resumeUntilAnswered();
		} catch (error) {
			const {code} = classifyCallError(error);
			this.#options.fail({kind: 'connection-lost', ran: 'unknown', code});
		} finally {
			this.#isRunning = false;
		}
	}

	/**
	 * Asks the agent to send again what follows the tokens received. A frame that arrives during a resume is dropped when it
	 * is not the next one, and a stream that has ended sends no other frame that would show the gap.
	 */
	async requestResend(): Promise<void> {
		const {endpoint: {peer}, fail} = this.#options;
		if (!peer || this.#isRunning) {
			return;
		}

		try {
			await this.#resumeOn(peer);
		} catch (error) {
			const {code} = classifyCallError(error);
			// Other errors belong to the connection, whose end starts a resume of its own.
			if (code === unknownRequestCode) {
				fail({kind: 'connection-lost', ran: 'unknown', code});
			}
		}
	}

	/**
	 * The resume itself may meet a connection that has gone silent but is not yet known to be lost: a call without an answer
	 * times out about when the silence is noticed.
	 */
	async #resumeUntilAnswered(): Promise<void> {
		for (;;) {
			this.#resumes += 1;
			try {
				await this.#resumeOnce();
				return;
			} catch (error) {
				if (this.#options.isSettled() || !isConnectionLoss(error)) {
					throw error;
				}
			}
		}
	}

	async #resumeOnce(): Promise<void> {
		const {endpoint, params, isSettled, fail} = this.#options;
		if (this.#resumes > maxResumes) {
			fail({kind: 'invalid-response', ran: 'ran', code: 'too-many-gaps'});
			return;
		}

		const peer = await this.#waitForPeer();
		if (isSettled()) {
			return;
		}

		if (!peer || endpoint.incarnation !== params.incarnation) {
			fail({kind: 'connection-lost', ran: 'unknown', code: 'connection-lost'});
			return;
		}

		await this.#resumeOn(peer);
	}

	async #resumeOn(peer: Peer): Promise<void> {
		const {params: {requestId, attempt}, position} = this.#options;
		await peer.call('request.resume', {requestId, attempt, position: position()}, {timeoutMs: resumeTimeoutMs});
	}

	/** Waits for a connection as long as the agent holds the stream, or until another attempt takes over. */
	async #waitForPeer(): Promise<Peer | undefined> {
		const {endpoint, resumeWaitMs, isSettled, claimNextAttempt} = this.#options;
		for (let waitedMs = 0; waitedMs < retentionMs; waitedMs += resumeWaitMs) {
			const peer = await endpoint.waitForPeer(resumeWaitMs);
			if (peer) {
				return peer;
			}

			if (isSettled() || endpoint.isClosed || claimNextAttempt()) {
				return undefined;
			}
		}

		return undefined;
	}
}
