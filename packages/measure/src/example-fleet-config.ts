/**
 * Configurations of any size for the measurements.
 */
import {hashKey, type KeyHash} from '@hawthorncleat/core';
import type {Change, ConfigObject} from '@hawthorncleat/schema';

export const measuredPlace = {dataCentre: 'dc-1', region: 'west'} as const;
export const farPlace = {dataCentre: 'dc-far', region: 'east'} as const;
export const callerKey = 'measured-caller-key';

/** The objects that the path needs, with the account and key of the measured caller. */
export const baseObjects = (): ConfigObject[] => [
	{kind: 'place', name: measuredPlace.dataCentre, region: measuredPlace.region},
	{kind: 'place', name: farPlace.dataCentre, region: farPlace.region},
	{kind: 'client-account', name: 'caller'},
	{
		kind: 'key', name: 'caller-key', account: 'caller', hash: hashKey(callerKey), state: 'active',
	},
	{
		kind: 'model-version', name: 'model-v1', model: 'model', version: '1',
	},
	{
		kind: 'service', name: 'model-service', modelVersion: 'model-v1', places: [measuredPlace.dataCentre],
	},
	{kind: 'service', name: 'order-desk', places: [measuredPlace.dataCentre]},
	{kind: 'route', name: 'model', service: 'model-service'},
	{
		kind: 'route', name: 'orders', service: 'order-desk', path: '/orders', methods: ['POST'], action: true,
	},
];

/** Accounts with an index from a range. */
export const createAccounts = (from: number, to: number): ConfigObject[] =>
	Array.from({length: to - from}, (_, offset) => ({
		kind: 'client-account', name: `account-${from + offset}`, weight: 1, tokensPerSecond: 1000,
	}));

const hashOf = (index: number): KeyHash => hashKey(`key-${index}`);

/** One key for each account of a range. */
export const createKeys = (from: number, to: number): ConfigObject[] =>
	Array.from({length: to - from}, (_, offset) => ({
		kind: 'key', name: `key-${from + offset}`, account: `account-${from + offset}`, hash: hashOf(from + offset), state: 'active',
	}));

/** The usual change: a key is withdrawn. */
export const createWithdrawal = (index: number): Change => ({
	put: [{
		kind: 'key', name: `key-${index}`, account: `account-${index}`, hash: hashOf(index), state: 'withdrawn',
	}],
});
