/**
 * Asks the witnesses of the own data centre on behalf of the duties of this entry: before a takeover, and while a holder
 * cannot renew its lease.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	announceWindowMs, dutyView, isAnnounced, leaseDefaults, takeoverWaitMs, type Clock, type DutyWitness, type LeaseDurations, type LeaseEpoch, type RecentGroups, type WitnessGroup,
} from '@hawthorncleat/core';
import type {Attestation, OutageEvidence} from '@hawthorncleat/platform';
import type {Peer} from '@hawthorncleat/wire';

/** Two rounds of questions fit into the validity of an attestation, also when a witness does not answer. */
const attestTimeoutMs = 700;

export type DutyEvidenceOptions = {
	readonly clock: Clock;
	readonly entryId: string;
	readonly witness: DutyWitness;
	readonly ownGroup: () => WitnessGroup | undefined;
	readonly recentGroups: RecentGroups;
	readonly peers: () => ReadonlyMap<string, Peer>;
};

/** Creates the evidence of one duty. */
export type CreateOutageEvidence = (duty: string, durations?: LeaseDurations) => OutageEvidence;

type Ask = {readonly self: () => boolean; readonly peer: (peer: Peer) => Promise<boolean>};

/** Returns the ids of the witnesses that answer positively. */
const askWitnesses = async ({entryId, peers}: DutyEvidenceOptions, hostIds: ReadonlySet<string>, ask: Ask): Promise<Set<string>> => {
	const open = peers();
	const positive = new Set<string>();
	await Promise.all([...hostIds].map(async hostId => {
		const peer = open.get(hostId);
		const isPositive = hostId === entryId
			? ask.self()
			: peer !== undefined && await ask.peer(peer).catch(() => false);
		if (isPositive) {
			positive.add(hostId);
		}
	}));
	return positive;
};

const idsOf = (groups: readonly WitnessGroup[]): Set<string> =>
	new Set(groups.flatMap(({witnesses}) => witnesses.map(({hostId}) => hostId)));

const announce = async (options: DutyEvidenceOptions, duty: string, epoch: LeaseEpoch): Promise<boolean> => {
	const {clock, witness, recentGroups} = options;
	const groups = recentGroups.list();
	if (!groups) {
		return false;
	}

	const sentMs = clock.nowMs();
	const noted = await askWitnesses(options, idsOf(groups), {
		self() {
			witness.announce({duty, epoch});
			return true;
		},
		async peer(peer) {
			const answer = await peer.call('duty.announce', {duty, epoch}, {timeoutMs: announceWindowMs - 100});
			return answer.noted;
		},
	});
	return isAnnounced(groups, noted, {sentMs, receivedMs: clock.nowMs()});
};

const attest = async (options: DutyEvidenceOptions, duty: string, epoch: LeaseEpoch): Promise<Attestation | undefined> => {
	const {clock, witness, ownGroup} = options;
	const group = ownGroup();
	if (!group) {
		return undefined;
	}

	const sentMs = clock.nowMs();
	const view = dutyView(group);
	const positive = await askWitnesses(options, idsOf([group]), {
		self: () => witness.attest({duty, epoch}, view),
		async peer(peer) {
			const answer = await peer.call('duty.attest', {duty, epoch, view}, {timeoutMs: attestTimeoutMs});
			return answer.attested;
		},
	});
	return {group, positive: positive.size, sentMs};
};

export const createOutageEvidence = (options: DutyEvidenceOptions): CreateOutageEvidence =>
	(duty, durations = leaseDefaults) => ({
		async announce(epoch, signal) {
			const isNoted = await announce(options, duty, epoch);
			if (isNoted) {
				await sleep(takeoverWaitMs(durations), undefined, {signal}).catch(() => {/* The taker looks at the signal. */});
			}

			return isNoted;
		},
		attest: async epoch => attest(options, duty, epoch),
	});
