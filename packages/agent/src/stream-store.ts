/**
 * The streams of one agent by request: queued, running, and ended ones until they can no longer be resumed.
 */
import type {FrameTarget, Stream} from './stream.js';

/** How long a stream without a listener keeps its place at the engine. */
export const orphanLimitMs = 10_000;
/** How long an ended stream can still be resumed. */
export const replayMs = 10_000;
// Ended streams with more tokens in all are forgotten early, oldest first; this many take about 20 MB.
const maxReplayTokens = 500_000;

/** The streams of one agent. */
export class StreamStore {
	readonly #streams = new Map<string, Stream>();

	/** Whether every stream ended and its listener, if it has one, was sent everything. */
	get isDelivered(): boolean {
		return [...this.#streams.values()].every(stream => stream.isDelivered);
	}

	get(requestId: string): Stream | undefined {
		return this.#streams.get(requestId);
	}

	has(stream: Stream): boolean {
		return this.#streams.get(stream.params.requestId) === stream;
	}

	add(stream: Stream): void {
		this.#streams.set(stream.params.requestId, stream);
	}

	delete(stream: Stream): void {
		if (this.has(stream)) {
			this.#streams.delete(stream.params.requestId);
		}
	}

	/** Notes that a connection ended; its streams wait for a resume. */
	detach(listener: FrameTarget, nowMs: number): void {
		for (const stream of this.#streams.values()) {
			stream.detach(listener, nowMs);
		}
	}

	/** Sends what slow connections take again, forgets old streams and returns those that nobody listens to. */
	sweep(nowMs: number): Stream[] {
		const orphans: Stream[] = [];
		let replayTokens = 0;
		for (const stream of this.#streams.values()) {
			stream.flush();
			if (stream.endedMs !== undefined) {
				replayTokens += stream.tokenCount;
				this.#forgetIfOld(stream, nowMs);
			} else if (stream.listenerLostMs !== undefined && nowMs - stream.listenerLostMs >= orphanLimitMs) {
				orphans.push(stream);
			}
		}

		this.#forgetOldest(replayTokens - maxReplayTokens);
		return orphans;
	}

	clear(): Stream[] {
		const streams = [...this.#streams.values()];
		this.#streams.clear();
		return streams;
	}

	#forgetIfOld(stream: Stream, nowMs: number): void {
		const isHeldBack = stream.listener?.isOpen === true && !stream.isDelivered;
		if (!isHeldBack && nowMs - (stream.endedMs ?? nowMs) >= replayMs) {
			this.delete(stream);
		}
	}

	#forgetOldest(excessTokens: number): void {
		let left = excessTokens;
		for (const stream of this.#streams.values()) {
			if (left <= 0) {
				return;
			}

			if (stream.endedMs !== undefined && stream.isDelivered) {
				this.delete(stream);
				left -= stream.tokenCount;
			}
		}
	}
}
