/**
 * Checks and publishes changes for operators. Rules `announce` and `confirm` of models/freshness.pml: a majority of the
 * own witness group hears of a version before it is written, and the change counts as confirmed once a majority has heard
 * that it was.
 */
import {
	checkChange, createRequestError, isMajority, witnessIds, type Clock, type ActiveConfig, type MakeId, type Witness, type WitnessGroup,
} from '@hawthorncleat/core';
import {isStoreError, type AnnouncementOutcome, type ConfigStore} from '@hawthorncleat/store';
import type {Finding} from '@hawthorncleat/schema';
import type {ApplyResult, Publisher} from '../deps.js';
import {askWitnesses, type Asker, type WitnessQuestion} from './ask-witnesses.js';

const witnessTimeoutMs = 1000;
/** Rule `in-time` of models/freshness.pml: new and restarted witnesses rely on earlier writers having finished by then. */
const confirmLimitMs = 5000;
const retryAfterMs = 2000;

export type PublisherOptions = Asker & {
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly inForce: ActiveConfig;
	readonly store: ConfigStore;
	readonly witness: Witness;
	readonly ownGroup: () => WitnessGroup | undefined;
};

type Announcement = {
	readonly announceId: string;
	readonly group: WitnessGroup;
	readonly startedAtMs: number;
};

const witnessesUnavailable = (group: WitnessGroup | undefined): Error => createRequestError(
	`no majority of the witnesses of ${group?.name ?? 'this data centre'} can be reached`,
	{
		code: 'witnesses-unavailable', ran: 'not-run', status: 503, retryAfterMs,
	},
);

/** Publishes with announcements to the witnesses. */
export class WitnessedPublisher implements Publisher {
	readonly #options: PublisherOptions;

	constructor(options: PublisherOptions) {
		this.#options = options;
	}

	validate(change: unknown): readonly Finding[] {
		const result = checkChange(this.#options.inForce.view(), change);
		return result.ok ? [] : result.findings;
	}

	async apply(change: unknown): Promise<ApplyResult> {
		const announcements: Announcement[] = [];
		try {
			return await this.#publish(change, announcements);
		} catch (error) {
			if (!isStoreError(error)) {
				throw error;
			}

			// Nothing is written before the first announcement, whatever a failed read says.
			const isInDoubt = announcements.length > 0 && error.outcome === 'unknown';
			return {kind: 'unavailable', code: isInDoubt ? 'publication-in-doubt' : 'store-unavailable', retryAfterMs};
		}
	}

	async #publish(change: unknown, announcements: Announcement[]): Promise<ApplyResult> {
		const {inForce, store} = this.#options;
		const result = await store.publish({
			base: inForce.view(),
			change,
			announce: async version => {
				const announcement = this.#createAnnouncement();
				announcements.push(announcement);
				await this.#announce(announcement, version);
			},
			reportOutcome: async (outcome, version) => {
				const announcement = announcements.at(-1);
				return announcement ? this.#finish(announcement, outcome, version) : false;
			},
		});
		if (result.kind === 'findings') {
			return {kind: 'invalid', findings: result.findings};
		}

		if (result.kind === 'conflict') {
			return result;
		}

		inForce.install(result.update);
		return {kind: 'published', version: result.view.version, confirmed: result.confirmed};
	}

	#createAnnouncement(): Announcement {
		const {makeId, ownGroup, clock} = this.#options;
		const group = ownGroup();
		if (!group) {
			throw witnessesUnavailable(group);
		}

		return {announceId: makeId(), group, startedAtMs: clock.nowMs()};
	}

	async #announce({announceId, group}: Announcement, version: number): Promise<void> {
		const {witness} = this.#options;
		const params = {announceId, version, view: group.view};
		const noted = await this.#count(group, {
			self: () => witness.announce(announceId, version, group.view).noted,
			async peer(peer) {
				const answer = await peer.call('publish.announce', params, {timeoutMs: witnessTimeoutMs});
				return answer.noted;
			},
		});
		if (!isMajority(noted, group)) {
			throw witnessesUnavailable(group);
		}
	}

	/** Every witness that hears of an accepted version holds back attestations until it has it, also after a restart. */
	async #finish({announceId, group, startedAtMs}: Announcement, outcome: AnnouncementOutcome, version: number): Promise<boolean> {
		const {witness, ownGroup, clock} = this.#options;
		const informed = await this.#count(group, {
			self() {
				witness.finish(announceId, outcome, version);
				return true;
			},
			async peer(peer) {
				await peer.call('publish.finish', {announceId, outcome, version}, {timeoutMs: witnessTimeoutMs});
				return true;
			},
		});
		const isInTime = clock.nowMs() - startedAtMs <= confirmLimitMs;
		return isMajority(informed, group) && isInTime && ownGroup()?.view === group.view;
	}

	async #count(group: WitnessGroup, question: WitnessQuestion<boolean>): Promise<number> {
		const answers = await askWitnesses(this.#options, witnessIds([group]), question);
		return [...answers.values()].filter(Boolean).length;
	}
}
