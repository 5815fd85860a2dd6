/**
 * A runner spoils one answer: that to a report call. Counts the requests that a sound runner was running and whose kept channel then closed without an
 * answer.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../lib/client.mjs';
import {loopback} from '../lib/ports.mjs';
import {runCase} from '../lib/world.mjs';

const zone = 'ruaraka';
const clientCount = 24;
const loadMs = 14_000;
/** Near the longest that the site has for such a request. */
const workMs = 100;
const maxPauseMs = 40;

/** A faulty runner spoils one of fifty of its answers at most. */
const minAnswers = 50;
const livenessChecks = 60;

/** The answer with some of its bytes replaced, as long as it was. */
const spoil = text => `${text.slice(0, 20)}\u0001#x${text.slice(23)}`;

const createRunners = (count, id, options) => Array.from({length: count}, (_, index) => ({id: `${id}-${index + 1}`, zone, ...options}));

/** Asks a runner again and again whether it is healthy, so that the spoiled answer is one of many. */
const checkLiveness = async ({port}) => {
	for (let check = 0; check < livenessChecks; check += 1) {
		const answer = await fetch(`http://${loopback}:${port}/healthz`);
		await answer.text();
	}
};

/** Sends requests on one channel after the other; a new one goes to another machine. */
const runClient = async ({recorder, entries}, number, untilMs) => {
	const answers = [];
	let machine = number;
	let client = new Client(entries[machine % entries.length].ports.front, recorder);
	await sleep(Math.random() * workMs);
	while (recorder.nowMs < untilMs) {
		const answer = await client.send({path: `/hold/${number}`, key: 'key-acme'});
		answers.push(answer);
		if (answer.error !== undefined) {
			client.close();
			machine += 1;
			client = new Client(entries[machine % entries.length].ports.front, recorder);
		}

		await sleep(Math.random() * maxPauseMs);
	}

	client.close();
	return answers;
};

await runCase(process.argv[2], async (world, hasTrouble) => {
	const {recorder, entries} = world;
	let spoiled = 0;
	await world.start({
		runners: [
			...createRunners(4, 'i-desk', {service: 'desk-app', workMs}),
			...createRunners(13, 'i-model', {
				service: 'reader-models', slots: 48, workMs: 20, stage: 'decode',
			}),
		],
		entries: [{name: 'front-ruaraka-1', zone}, {name: 'front-ruaraka-2', zone}],
	});
	for (const runner of world.runners) {
		runner.changeReport = text => {
			const isSpoiled = hasTrouble && spoiled === 0 && runner.answerCount >= minAnswers;
			const answer = isSpoiled ? spoil(text) : text;
			spoiled += isSpoiled ? 1 : 0;
			recorder.note('report', {
				runner: runner.id, answers: runner.answerCount, isSpoiled, answer,
			});
			return answer;
		};
	}

	await Promise.all(world.runners.map(async runner => checkLiveness(runner)));
	const untilMs = recorder.nowMs + loadMs;
	const clients = Array.from({length: clientCount}, async (_, number) => runClient(world, number, untilMs));
	const answersOfClients = await Promise.all(clients);
	const answers = answersOfClients.flat();
	const lost = answers.filter(({isKept, error, id}) => isKept && error !== undefined && world.ranIds.has(id));
	const ends = entries.flatMap(entry => entry.ends);
	const counts = {
		answers: answers.length, spoiled, lost: lost.length, processEnds: ends.length,
	};
	recorder.note('count', {...counts, ends});
	console.log(JSON.stringify(counts));
	return lost.length > 3;
});
