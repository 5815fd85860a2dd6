/* eslint-disable @stylistic/object-curly-newline, no-unmodified-loop-condition */
/**
 * One runner of five spoils one of its answers: its status line has the status 000. Counts the requests that are unanswered at their route's `timeoutMs`, and
 * those of them that have no answer half a second later.
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {callOnce} from '../lib-2/client.mjs';
import {bounds, findPorts} from '../lib-2/entry.mjs';
import {answerOk, Runner} from '../lib-2/runner.mjs';
import {buildConfig, runCase} from '../lib-2/world.mjs';

const entryCount = 2;
const runnerCount = 5;
const clientsPerEntry = 16;
const serviceMs = 20;
const pauseMs = 200;
/** The time limit of `stock-lookup` on the site. */
const timeoutMs = 1000;
/** Clients wait longer than the route allows. */
const deadlineMs = 8000;
const lateMs = 500;
/** The first runner spoils this one of its answers, the last of so many, less than a fiftieth of them. */
const spoiledAnswer = 101;
const afterMs = 10_000;

const config = buildConfig({
	routes: [{name: 'look', kind: 'idempotent', pathPrefix: '/look/', service: 'desk', timeoutMs, maxAttempts: 2}],
	services: [{name: 'desk'}],
});

/** Sends an answer whose status is 000, with the request's id. */
const answerSpoiled = (run, res, runner) => {
	const text = `done ${run.id}`;
	const head = ['HTTP/1.1 000 OK', `Request-Id: ${run.id}`, `Response-Seal: ${runner.id}.${run.id}`, `Content-Length: ${text.length}`];
	res.socket.write(`${head.join('\r\n')}\r\n\r\n${text}`);
};

const startRunners = async world => {
	const state = {spoiledMs: undefined, runs: 0};
	const ports = await findPorts(runnerCount);
	let answersOfFirst = 0;
	for (const port of ports) {
		const runner = new Runner({platform: world.platform, service: 'desk', port}, async (run, res, answering) => {
			state.runs += 1;
			await sleep(serviceMs);
			answersOfFirst += port === ports[0] ? 1 : 0;
			if (port === ports[0] && answersOfFirst === spoiledAnswer) {
				state.spoiledMs = world.nowMs;
				world.record(`runner ${run.runner} gives its answer ${answersOfFirst}, to ${run.id}, with status ${world.isTroubled ? '000' : '200'}`);
				if (world.isTroubled) {
					answerSpoiled(run, res, answering);
					return;
				}
			}

			answerOk(run, res, answering);
		});
		await runner.start();
		world.onEnd(() => {
			runner.stop();
		});
	}

	return state;
};

await runCase(import.meta.url, async world => {
	await world.startPlatform(config);
	const runners = await startRunners(world);
	await world.startEntries(entryCount);
	await sleep(bounds.contactMs);
	const answers = [];
	let isOver = false;
	const runClient = async (entry, client) => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let number = 1; !isOver; number += 1) {
			const id = `${entry.name}-${client}-${number}`;
			const answer = await callOnce(entry.port, {id, method: 'GET', path: `/look/${id}`, deadlineMs, agent});
			answers.push({...answer, entry: entry.name, tookMs: answer.endedMs - answer.sentMs});
			await sleep(pauseMs);
		}

		agent.destroy();
	};

	const clients = world.entries.flatMap(entry => Array.from({length: clientsPerEntry}, async (_, index) => runClient(entry, index + 1)));
	const startMs = world.nowMs;
	while (runners.spoiledMs === undefined && world.nowMs - startMs < 40_000) {
		await sleep(50);
	}

	await sleep(afterMs);
	isOver = true;
	await Promise.all(clients);
	const unanswered = answers.filter(({tookMs}) => tookMs > timeoutMs);
	const late = unanswered.filter(({tookMs}) => tookMs > timeoutMs + lateMs);
	for (const {id, entry, sentMs, tookMs, status, error} of unanswered) {
		world.record(`client: ${id} at ${entry}, sent at ${sentMs}: ${status || error || 'no answer'} after ${tookMs} ms`);
	}

	world.record(`${answers.length} requests, ${runners.runs} runs; ended processes: ${world.entries.filter(({exitCode}) => exitCode !== undefined).length}`);
	world.record(`unanswered at timeoutMs (${timeoutMs} ms): ${unanswered.length}; of these without an answer ${lateMs} ms later: ${late.length}`);
	return late.length <= unanswered.length / 2;
});
