/**
 * The open channels to the store go silent, and a runner leaves. Counts the requests that reach it although they were sent later than `drainMs` after the store
 * had acknowledged that it is gone, by machines that are in touch again.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../lib/client.mjs';
import {bounds} from '../lib/entry.mjs';
import {runCase} from '../lib/world.mjs';

const zone = 'ruaraka';
const quietMs = 5000;
/** Time from the silence until the runner leaves. */
const leaveAfterMs = 200;
const loadMs = 6000;
const pauseMs = 100;
const clientsPerEntry = 8;
/** Time from the silence until the first orders. The machines are in touch again then. */
const firstOrdersMs = 3300;

await runCase(process.argv[2], async (world, hasTrouble) => {
	const {recorder, entries, proxies, runners} = world;
	await world.start({
		runners: [1, 2, 3, 4].map(number => ({
			id: `i-desk-${number}`, service: 'desk-app', zone, workMs: 21,
		})),
		entries: [{name: 'front-ruaraka-1', zone}, {name: 'front-ruaraka-2', zone}],
	});
	await sleep(quietMs);
	const silentMs = recorder.nowMs;
	if (hasTrouble) {
		recorder.note('silence', {channels: proxies.map(proxy => proxy.silenceOpen())});
	}

	await sleep(leaveAfterMs);
	const [leaving] = runners;
	leaving.leave();
	const ackMs = recorder.nowMs;
	await sleep(silentMs + firstOrdersMs - recorder.nowMs);
	const answers = [];
	const machines = entries.flatMap(entry => Array.from({length: clientsPerEntry}, () => entry));
	await Promise.all(machines.map(async entry => {
		const client = new Client(entry.ports.front, recorder);
		while (recorder.nowMs < silentMs + firstOrdersMs + loadMs) {
			answers.push(await client.send({path: '/hold/1', key: 'key-acme'}));
			await sleep(pauseMs);
		}

		client.close();
	}));
	const afterAckMs = answers
		.filter(({id, sentMs}) => sentMs > Math.max(ackMs + bounds.drainMs, silentMs + bounds.contactMs) && leaving.runIds.has(id))
		.map(({sentMs}) => Math.round(sentMs - ackMs));
	recorder.note('count', {answers: answers.length, afterAckMs});
	console.log(JSON.stringify({answers: answers.length, afterAckMs}));
	return afterAckMs.length > 0;
});
