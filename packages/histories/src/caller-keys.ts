/**
 * Keys of a run beside those that every fleet has. Their secrets are random, so that a part of one found at an endpoint
 * can only come from the key.
 */
import {hashKey} from '@hawthorncleat/core';
import type {Change, Key} from '@hawthorncleat/schema';
import {fleetServices, type FleetAccount} from './fleet-config.js';
import type {SeededRandom} from './random.js';

/** Name of the model route, which callers use as the model. */
export const modelRoute = 'restock';
const secretLength = 40;
const letters = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789';

/** A key as its caller has it. */
export type CallerKey = {readonly name: string; readonly account: FleetAccount; readonly secret: string};

/** Creates a key in the form that the command line gives it. */
export const createCallerKey = (random: SeededRandom, name: string, account: FleetAccount): CallerKey => ({
	name, account, secret: `hck_${Array.from({length: secretLength}, () => random.pick([...letters])).join('')}`,
});

/** The key object with its hash. */
export const keyObject = ({name, account, secret}: CallerKey, state: Key['state'] = 'active'): Key => ({
	kind: 'key', name, account, hash: hashKey(secret), state,
});

/**
 * The change that issues the keys. It also raises the limits of time of the model route, since these tests judge what is
 * answered and not how soon on a busy machine.
 */
export const issueKeys = (keys: readonly CallerKey[]): Change => ({
	put: [
		...keys.map(key => keyObject(key)),
		{
			kind: 'route', name: modelRoute, service: fleetServices.model, firstTokenMs: 10_000, timeoutMs: 60_000,
		},
	],
});
