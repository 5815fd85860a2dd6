import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {brandAs, type ClientAccountName, type ConfigVersion} from '../../ids.js';
import type {ForwardConfig, ForwardRoute} from '../deployment.js';
import {pickService, RouteTable} from '../route-table.js';

const createRoute = (hostname: string, pathPrefix: string): ForwardRoute => ({
	name: `${hostname}${pathPrefix}`,
	hostname,
	pathPrefix,
	kind: 'idempotent',
	timeoutMs: 1000,
	latencyTargetMs: 100,
	maxGapMs: 0,
	maxAttempts: 1,
	priority: 0,
	isOpen: false,
	isResumable: false,
	services: [{service: 's', weight: 1}],
});

const config: ForwardConfig = {
	version: brandAs<ConfigVersion>(1),
	routes: [createRoute('h', '/'), createRoute('h', '/a/'), createRoute('h', '/a/b/'), createRoute('other', '/c/')],
	services: [],
	accounts: [{name: brandAs<ClientAccountName>('acme'), keys: ['k1', 'k2']}],
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

describe('the route table', () => {
	const table = new RouteTable(config);

	it('finds the longest prefix of the host', () => {
		assert.is(table.findRoute('h', '/a/b/c')?.pathPrefix, '/a/b/');
		assert.is(table.findRoute('h', '/a/bc')?.pathPrefix, '/a/');
		assert.is(table.findRoute('h', '/x')?.pathPrefix, '/');
	});

	it('finds nothing at other hosts or paths', () => {
		assert.is(table.findRoute('other', '/a/'), undefined);
		assert.is(table.findRoute('unknown', '/a/'), undefined);
	});

	it('finds the account of each of its keys and of no other', () => {
		assert.is(table.findAccount('k2')?.name, 'acme');
		assert.is(table.findAccount('k'), undefined);
	});

	it('divides the requests of a split route by weight', () => {
		const route = {...createRoute('h', '/'), services: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]};
		assert.is(pickService(route, () => 0.89), 'a');
		assert.is(pickService(route, () => 0.91), 'b');
	});
});
