/**
 * Asks witnesses, of which this entry may be one itself.
 */
import type {Peer} from '@hawthorncleat/wire';

export type Asker = {
	readonly entryId: string;
	readonly peers: () => ReadonlyMap<string, Peer>;
};

export type WitnessQuestion<Answer> = {
	/** Own answer, if this entry is one of the witnesses. */
	readonly self: () => Answer | undefined;
	readonly peer: (peer: Peer) => Promise<Answer | undefined>;
};

/** Returns the answers by host id, without those of witnesses that cannot be reached or do not answer. */
export const askWitnesses = async <Answer>(
	{entryId, peers}: Asker,
	hostIds: Iterable<string>,
	{self, peer}: WitnessQuestion<Answer>,
): Promise<Map<string, Answer>> => {
	const open = peers();
	const answers = new Map<string, Answer>();
	await Promise.all([...hostIds].map(async hostId => {
		const other = open.get(hostId);
		const answer = hostId === entryId ? self() : other && await peer(other).catch(() => undefined);
		if (answer !== undefined) {
			answers.set(hostId, answer);
		}
	}));
	return answers;
};
