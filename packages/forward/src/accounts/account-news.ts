/**
 * What entries tell each other of client accounts that have a limit, and its encoding in their messages. Entries of earlier versions neither send nor
 * read it.
 */
import type {ToldSpending} from '@hawthorncleat/core';
import {isAmount, isText} from '../utils/value-checks.js';

export type ToldAccount = Omit<ToldSpending, 'incarnation'> & {readonly account: string};

/** Accounts with recent requests. */
export type AccountNews = {
	/** Differs after a restart of the sender. */
	readonly incarnation: number;
	readonly accounts: readonly ToldAccount[];
};

type Tuple = readonly unknown[];

const isTuple = (value: unknown): value is Tuple => Array.isArray(value);

/** Demands are compared with each other, so their leading digits are enough. */
const demandDigits = 3;

export const encodeAccountNews = ({incarnation, accounts}: AccountNews): Tuple => [
	incarnation,
	accounts.map(({account, spent, perSecond}) => [account, Math.round(spent), Number(perSecond.toPrecision(demandDigits))]),
];

const decodeAccount = (value: unknown): ToldAccount | undefined => {
	const [account, spent, perSecond] = isTuple(value) ? value : [];
	return isText(account) && isAmount(spent) && isAmount(perSecond) ? {account, spent, perSecond} : undefined;
};

/** Decodes the news of a message; undefined if there is none or it is damaged. Damaged accounts are left out. */
export const decodeAccountNews = (value: unknown): AccountNews | undefined => {
	const [incarnation, accounts] = isTuple(value) ? value : [];
	if (!isAmount(incarnation) || !isTuple(accounts)) {
		return undefined;
	}

	return {incarnation, accounts: accounts.map(account => decodeAccount(account)).filter(account => account !== undefined)};
};
