/**
 * `dev`: a whole fleet on loopback with an example configuration, a key, and a request to paste into a shell.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {hashKey} from '@hawthorncleat/core';
import {request} from 'undici';
import {createAdminClient} from '../admin-client.js';
import type {CommandContext} from '../context.js';
import {startLocalFleet as startDevelopmentFleet, type LocalFleet as DevelopmentFleet, type LocalOptions as DevelopmentOptions} from '../daemons/local-fleet.js';
import {runUntilStopped} from '../daemons/run.js';
import {createDaemonDeps, createLog, type LogSettings} from '../daemons/start.js';
import {createExampleConfig as createDevelopmentConfig} from '../examples/example-config.js';
import {createCommandError, exitCodes, type ExitCode} from '../exit-codes.js';

/** Flags of `dev`. */
export type LocalArguments = LogSettings & {readonly callerPort: number};

/** `npm start` has to serve within 20 s, so a longer wait would hide a fault. */
const readyLimitMs = 15_000;
const retryIntervalMs = 200;

/** Enough to see that the answer streams. */
const exampleTokens = 32;

/** Body of the example request. */
const createBody = (maxTokens: number, stream: boolean): string => JSON.stringify(Object.fromEntries([
	['model', 'restock-plan'],
	['prompt', 'Which shelves need restocking today?'],
	['max_tokens', maxTokens],
	['stream', stream],
]));

/** Repeats an attempt until it succeeds, and rejects with its last error after the limit. */
const retryUntilReady = async (attempt: () => Promise<void>, signal: AbortSignal): Promise<void> => {
	const startedAt = performance.now();
	for (;;) {
		try {
			await attempt();
			return;
		} catch (error) {
			if (signal.aborted || performance.now() - startedAt > readyLimitMs) {
				throw error;
			}
		}

		await sleep(retryIntervalMs);
	}
};

const applyExample = async ({adminUrl}: DevelopmentFleet, token: string, secret: string): Promise<void> => {
	const answer = await createAdminClient({url: adminUrl, token}).apply(createDevelopmentConfig(hashKey(secret)));
	if (answer.kind === 'findings') {
		const problems = answer.findings.map(({kind, name, field, problem}) => `${kind} ${name} ${field}: ${problem}`);
		throw createCommandError(`the example configuration is not valid: ${problems.join('; ')}`, exitCodes.findings);
	}
};

/** Sends the request of the printed line once, so that the line is printed only when it works. */
const probe = async ({callerUrl}: DevelopmentFleet, secret: string): Promise<void> => {
	const {statusCode, body} = await request(new URL('/v1/completions', callerUrl), {
		method: 'POST',
		headers: {authorization: `Bearer ${secret}`, 'content-type': 'application/json'},
		body: createBody(1, false),
	});
	const text = await body.text();
	if (statusCode !== 200) {
		throw createCommandError(`the example request was answered ${statusCode}: ${text}`, exitCodes.failed);
	}
};

/** The line that streams an answer when it is pasted into a shell. */
export const createCurlLine = (callerUrl: string, secret: string): string => [
	`curl -N ${callerUrl}/v1/completions`,
	`-H 'authorization: Bearer ${secret}'`,
	'-H \'content-type: application/json\'',
	`-d '${createBody(exampleTokens, true)}'`,
].join(' ');

const prepare = async (context: CommandContext, fleet: DevelopmentFleet, token: string, signal: AbortSignal): Promise<void> => {
	const secret = context.makeKey();
	await retryUntilReady(async () => applyExample(fleet, token, secret), signal);
	await retryUntilReady(async () => probe(fleet, secret), signal);
	context.print(`admin API: ${fleet.adminUrl} with token ${token}`);
	context.print(createCurlLine(fleet.callerUrl, secret));
};

/** Runs the fleet until a stop signal. */
export const runLocal = async (context: CommandContext, args: LocalArguments): Promise<ExitCode> => {
	const options: DevelopmentOptions = {...args, adminToken: context.makeKey()};
	const deps = createDaemonDeps(createLog(args, context.printError));
	return runUntilStopped(context, deps, async (_, signal) => {
		const fleet = await startDevelopmentFleet(context.start, deps, options, signal);
		await prepare(context, fleet, options.adminToken, signal);
		return fleet.daemon;
	});
};
