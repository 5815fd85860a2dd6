/**
 * Rendezvous hashing: all processes with the same list of members choose the same members for a key. A member that joins
 * or leaves changes only the choices that include it.
 */
import {createHash} from 'node:crypto';

const scoreBytes = 8;

const score = (key: string, id: string): bigint =>
	createHash('sha256').update(JSON.stringify([key, id])).digest().subarray(0, scoreBytes).readBigUInt64BE();

/** Returns the `count` members with the highest score for `key`, in descending order of score. */
export const chooseByRendezvous = <Member>(
	key: string,
	members: readonly Member[],
	count: number,
	idOf: (member: Member) => string,
): Member[] => members
	.map(member => ({member, id: idOf(member), score: score(key, idOf(member))}))
	.toSorted((a, b) => {
		if (a.score === b.score) {
			return a.id < b.id ? -1 : 1;
		}

		return a.score > b.score ? -1 : 1;
	})
	.slice(0, count)
	.map(scored => scored.member);
