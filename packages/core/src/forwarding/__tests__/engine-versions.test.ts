import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {brandAs, type SoftwareVersion} from '../../ids.js';
import {selectEngines, type SelectionRequest} from '../engine-selection.js';
import {createView} from './fixtures.js';

const [v1, v2] = ['v1', 'v2'].map(text => brandAs<SoftwareVersion>(text)) as [SoftwareVersion, SoftwareVersion];

describe('engine selection among two software versions', () => {
	const request: SelectionRequest = {
		segments: [], promptTokens: 8000, outputTokens: 300, level: 1, remainingMs: 10_000, maxGapMs: 400, dataCentre: 'a', excluded: new Set(),
	};
	const context = {nowMs: 0, kvTokens: 500_000};

	it('takes both engines of a split request from one version; guards against a KV cache that the decode engine cannot use', () => {
		const views = [
			createView('p1', 'prefill', {softwareVersion: v1}),
			createView('d1', 'decode', {softwareVersion: v1}),
			createView('p2', 'prefill', {softwareVersion: v2}),
			createView('d2', 'decode', {softwareVersion: v2}),
		];
		for (const busy of views) {
			busy.prefillBacklog.add('e2', {level: 0, ms: 3000}, 0);
			busy.running = 9;
			const {decodeEngine, prefillEngine} = selectEngines(views, request, context)!;
			assert.is(prefillEngine?.endpoint.softwareVersion, decodeEngine.endpoint.softwareVersion);
		}
	});

	it('decodes a prefilled prompt at the version that prefilled it only', () => {
		const prefilledAt = createView('p1', 'prefill', {softwareVersion: v1});
		const [decode1, decode2] = [createView('d1', 'decode', {softwareVersion: v1}), createView('d2', 'decode', {softwareVersion: v2})];
		assert.is(selectEngines([prefilledAt, decode1, decode2], {...request, prefilledAt}, context)?.decodeEngine, decode1);
		assert.is(selectEngines([prefilledAt, decode2], {...request, prefilledAt}, context), undefined);
	});
});
