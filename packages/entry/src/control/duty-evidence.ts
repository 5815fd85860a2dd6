/**
 * Asks the witnesses of the own data centre on behalf of the duties of this entry: before a takeover, and while a holder
 * cannot renew its lease.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	announceWindowMs,
	dutyGroupView,
	isTakeoverAnnounced,
	defaultLeaseDurations,
	takeoverWaitMs,
	witnessIds,
	type Clock,
	type DutyWitness,
	type LeaseDurations,
	type LeaseEpoch,
	type RecentWitnessGroups,
	type WitnessGroup,
} from '@hawthorncleat/core';
import type {Attestation, DutyWitnessClient} from '@hawthorncleat/store';
import {askWitnesses, type Asker, type WitnessQuestion} from './ask-witnesses.js';

/** Two rounds of questions fit into the validity of an attestation, also when a witness does not answer. */
const attestTimeoutMs = 700;

export type DutyEvidenceOptions = Asker & {
	readonly clock: Clock;
	readonly witness: DutyWitness;
	readonly ownGroup: () => WitnessGroup | undefined;
	readonly recentGroups: RecentWitnessGroups;
};

/** Creates the evidence of one duty. */
export type CreateOutageEvidence = (duty: string, durations?: LeaseDurations) => DutyWitnessClient;

/** Host ids of the witnesses that answer positively. */
const findPositive = async (options: DutyEvidenceOptions, groups: readonly WitnessGroup[], question: WitnessQuestion<boolean>): Promise<Set<string>> => {
	const answers = await askWitnesses(options, witnessIds(groups), question);
	return new Set([...answers].filter(([, isPositive]) => isPositive).map(([hostId]) => hostId));
};

const announce = async (options: DutyEvidenceOptions, duty: string, epoch: LeaseEpoch): Promise<boolean> => {
	const {clock, witness, recentGroups} = options;
	const groups = recentGroups.announcementGroups();
	if (!groups) {
		return false;
	}

	const sentMs = clock.nowMs();
	const noted = await findPositive(options, groups, {
		self() {
			witness.announce({duty, epoch});
			return true;
		},
		async peer(peer) {
			const answer = await peer.call('duty.announce', {duty, epoch}, {timeoutMs: announceWindowMs - 100});
			return answer.noted;
		},
	});
	return isTakeoverAnnounced(groups, noted, {sentMs, receivedMs: clock.nowMs()});
};

const attest = async (options: DutyEvidenceOptions, duty: string, epoch: LeaseEpoch): Promise<Attestation | undefined> => {
	const {clock, witness, ownGroup} = options;
	const group = ownGroup();
	if (!group) {
		return undefined;
	}

	const sentMs = clock.nowMs();
	const view = dutyGroupView(group);
	const positive = await findPositive(options, [group], {
		self: () => witness.attest({duty, epoch}, view),
		async peer(peer) {
			const answer = await peer.call('duty.attest', {duty, epoch, view}, {timeoutMs: attestTimeoutMs});
			return answer.attested;
		},
	});
	return {group, positive: positive.size, sentMs};
};

export const createOutageEvidence = (options: DutyEvidenceOptions): CreateOutageEvidence =>
	(duty, durations = defaultLeaseDurations) => ({
		async announce(epoch, signal) {
			const isNoted = await announce(options, duty, epoch);
			if (isNoted) {
				await sleep(takeoverWaitMs(durations), undefined, {signal}).catch(() => {/* The taker looks at the signal. */});
			}

			return isNoted;
		},
		attest: async epoch => attest(options, duty, epoch),
	});
