/**
 * The open channels to the store go silent, and a key is withdrawn. Counts the requests with the withdrawn key that run although they were sent later than
 * `configApplyMs` after the ack, by machines that are in touch again.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../lib/client.mjs';
import {bounds} from '../lib/entry.mjs';
import {createConfig, runCase} from '../lib/world.mjs';

const zone = 'ruaraka';
const quietMs = 4000;
/** Pause between the two changes of the config. */
const gapMs = 330;
const loadMs = 9000;
const pauseMs = 50;
/** Allowed for the processes of the case itself, which share one machine. */
const marginMs = 50;
const readTimeoutMs = 900;

await runCase(process.argv[2], async (world, hasTrouble) => {
	const {recorder, entries, proxies} = world;
	await world.start({
		runners: [1, 2, 3, 4].map(number => ({
			id: `i-desk-${number}`, service: 'desk-app', zone, workMs: 21,
		})),
		entries: [{name: 'front-ruaraka-1', zone}, {name: 'front-ruaraka-2', zone}],
	});
	await sleep(quietMs);
	world.publish(createConfig(2, {readTimeoutMs}));
	await sleep(gapMs);
	const silentMs = recorder.nowMs;
	if (hasTrouble) {
		recorder.note('silence', {channels: proxies.map(proxy => proxy.silenceOpen())});
	}

	const ackMs = world.publish(createConfig(3, {readTimeoutMs, keys: {acme: ['key-acme'], bolt: []}}));
	const judgedMs = Math.max(ackMs + bounds.configApplyMs, silentMs + bounds.contactMs) + marginMs;
	const answers = [];
	await Promise.all(entries.map(async entry => {
		const client = new Client(entry.ports.front, recorder);
		while (recorder.nowMs < silentMs + loadMs) {
			answers.push(await client.send({path: '/hold/1', key: 'key-bolt'}));
			await sleep(pauseMs);
		}

		client.close();
	}));
	const afterAckMs = answers.filter(({id, sentMs}) => sentMs > judgedMs && world.ranIds.has(id)).map(({sentMs}) => Math.round(sentMs - ackMs));
	recorder.note('count', {answers: answers.length, afterAckMs});
	console.log(JSON.stringify({answers: answers.length, afterAckMs}));
	return afterAckMs.length > 0;
});
