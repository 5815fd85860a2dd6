/**
 * The processes of endpoints that have themselves said that they leave, in an answer to this entry or to a peer. A registration can lag behind such an
 * answer or be older, so it does not undo one; only a later start of the endpoint does.
 */
import type {Clock, RegisteredEndpoint} from '@hawthorncleat/core';

/** One run of an endpoint. A later start under the same id is another process. */
export type EndpointProcess = Pick<RegisteredEndpoint, 'id' | 'startedAt'>;

type LeavingProcess = {readonly startedAt: number; atMs: number};

export class LeavingProcesses {
	readonly #clock: Clock;
	readonly #byId = new Map<string, LeavingProcess>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record({id, startedAt}: EndpointProcess): void {
		if (startedAt >= (this.#byId.get(id)?.startedAt ?? Number.NEGATIVE_INFINITY)) {
			this.#byId.set(id, {startedAt, atMs: this.#clock.nowMs()});
		}
	}

	/** Whether this process, or one that the endpoint started later, has said that it leaves. */
	has({id, startedAt}: EndpointProcess): boolean {
		return startedAt <= (this.#byId.get(id)?.startedAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Forgets the processes that have been out of use for some time. */
	forget(isInUse: (id: string) => boolean, retentionMs: number): void {
		const nowMs = this.#clock.nowMs();
		for (const [id, leaving] of this.#byId) {
			if (isInUse(id)) {
				leaving.atMs = nowMs;
			} else if (nowMs - leaving.atMs >= retentionMs) {
				this.#byId.delete(id);
			}
		}
	}
}
