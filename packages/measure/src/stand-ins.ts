/**
 * The stand-ins in a process of their own, so that they take no time from the load generator.
 */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {startEngine, startPlainService, startPlatform} from '@hawthorncleat/stand-ins';
import type {EngineShape} from './fleet.js';

const plentyTokens = 1e9;

/** Starts platform, engine and plain service, prints their URLs as one line, and runs until a stop signal. */
export const runStandIns = async ({stepMs, maxRunning}: EngineShape): Promise<void> => {
	const controller = new AbortController();
	const {signal} = controller;
	setMaxListeners(0, signal);
	const platform = await startPlatform({}, signal);
	const engine = await startEngine({
		stepMs, maxRunning, model: 'model', kvTokens: plentyTokens, prefillTokensPerStep: plentyTokens,
	}, signal);
	const service = await startPlainService({}, signal);
	const stopped = new Promise<void>(resolve => {
		process.once('SIGTERM', () => {
			resolve();
		});
	});
	process.stdout.write(`${JSON.stringify({platformUrl: platform.url, engineUrl: engine.url, serviceUrl: service.url})}\n`);
	await stopped;
	controller.abort();
};
