import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {brandAs, type SoftwareVersion} from '../../ids.js';
import type {EndpointRole} from '../deployment.js';
import {findNeededDecoders, findSpareDecoders, type VersionedEngine} from '../version-roles.js';

const [v1, v2] = ['v1', 'v2'].map(text => brandAs<SoftwareVersion>(text)) as [SoftwareVersion, SoftwareVersion];

const engine = (endpoint: string, version: SoftwareVersion, role: EndpointRole): VersionedEngine => ({endpoint, version, role});

const namesOf = (engines: readonly VersionedEngine[]): string[] => engines.map(({endpoint}) => endpoint);

describe('roles of engines of two software versions', () => {
	it('leave each version two decode engines, or all that it has; guards against streams that end with the one engine that could go on with them', () => {
		const engines = [engine('a', v1, 'prefill'), engine('b', v1, 'prefill'), engine('c', v1, 'decode'), engine('d', v2, 'decode'), engine('e', v2, 'decode')];
		assert.equal(namesOf(findNeededDecoders(engines)), ['a', 'b']);
		assert.equal(namesOf(findSpareDecoders(engines)), []);
		assert.equal(namesOf(findSpareDecoders([...engines, engine('f', v2, 'decode')])), ['d', 'e', 'f']);
		assert.equal(namesOf(findNeededDecoders([engine('a', v1, 'prefill'), engine('b', v2, 'decode')])), ['a']);
	});

	it('are free with one version; guards against a division that differs without need', () => {
		const engines = [engine('a', v1, 'prefill'), engine('b', v1, 'prefill'), engine('c', v1, 'decode')];
		assert.equal(findNeededDecoders(engines), []);
		assert.equal(namesOf(findSpareDecoders(engines)), ['c']);
	});
});
