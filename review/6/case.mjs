/* eslint-disable @stylistic/object-curly-newline */
/**
 * Clients send requests with many short headers, within `maxHeaderBytes` of the configuration. Compares what a runner gets of each request that it runs with
 * what its client sent: method, path, body, and the headers that describe a prompt.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {findPorts} from '../lib-2/entry.mjs';
import {answerOk, Runner} from '../lib-2/runner.mjs';
import {buildConfig, runCase} from '../lib-2/world.mjs';

const maxHeaderBytes = 16_384;
const manyHeaders = 1200;
const fewHeaders = 900;
const requestCount = 20;
const answerLimitMs = 3000;
const described = ['model', 'token-count', 'prompt-prefix'];

const config = buildConfig({
	routes: [
		{name: 'order', kind: 'non_idempotent', pathPrefix: '/order/', service: 'desk'},
		{name: 'note', kind: 'streaming', pathPrefix: '/note/', service: 'desk', resumable: true},
	],
	services: [{name: 'desk'}],
	limits: {maxHeaderBytes},
});

const createRequest = (number, headerCount) => {
	const isOrder = number % 2 === 1;
	const id = `${isOrder ? 'order' : 'note'}-${number}`;
	const body = `pallet ${number}`;
	const headers = {host: 'shop.example', 'request-id': id, credential: 'k-acme'};
	for (let index = 1; index <= headerCount; index += 1) {
		headers[`x${index}`] = '1';
	}

	const last = {'deadline-ms': '2000', model: 'm', 'token-count': '400,20', 'prompt-prefix': `a1:200,b${number}:200`, 'content-length': String(body.length)};
	return {id, body, method: 'POST', target: `/${isOrder ? 'order' : 'note'}/${number}`, headers: {...headers, ...last}};
};

const writeHead = ({method, target, headers}) => {
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
	return `${[`${method} ${target} HTTP/1.1`, ...lines].join('\r\n')}\r\n\r\n`;
};

/** Sends a request; resolves to the status of its answer, or to why there is none. */
const send = async (port, request) => new Promise(resolve => {
	const socket = connect(port, '127.0.0.1');
	let text = '';
	const finish = end => {
		clearTimeout(timer);
		socket.destroy();
		resolve(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? end);
	};

	const timer = setTimeout(() => {
		finish('no answer');
	}, answerLimitMs);
	socket.on('data', data => {
		text += String(data);
		if (text.includes('\r\n\r\n')) {
			finish('answer');
		}
	});
	socket.on('error', error => {
		finish(error.code);
	});
	socket.on('close', () => {
		finish('closed');
	});
	socket.write(writeHead(request) + request.body);
});

const findChanges = ({method, target, body, headers}, run) => [
	...run.method === method ? [] : [`method ${run.method}`],
	...run.target === target ? [] : [`path ${run.target}`],
	...run.body === body ? [] : [`body ${JSON.stringify(run.body)} in place of ${JSON.stringify(body)}`],
	...described.filter(name => run.headers[name] !== headers[name]).map(name => `${name} ${run.headers[name]} in place of ${headers[name]}`),
];

await runCase(import.meta.url, async world => {
	await world.startPlatform(config);
	const runs = new Map();
	const ports = await findPorts(2);
	for (const port of ports) {
		const runner = new Runner({platform: world.platform, service: 'desk', port}, async (run, res, answering) => {
			runs.set(run.id, run);
			await sleep(20);
			answerOk(run, res, answering);
		});
		await runner.start();
		world.onEnd(() => {
			runner.stop();
		});
	}

	await world.startEntries(2);
	const headerCount = world.isTroubled ? manyHeaders : fewHeaders;
	let changed = 0;
	for (let number = 1; number <= requestCount; number += 1) {
		const request = createRequest(number, headerCount);
		const {id} = request;
		const entry = world.entries[number % 2];
		const size = `${Object.keys(request.headers).length} headers, ${Buffer.byteLength(writeHead(request))} bytes of ${maxHeaderBytes}`;
		world.record(`client: ${id} to ${entry.name}, ${size}, body ${JSON.stringify(request.body)}`);
		const answer = await send(entry.port, request);
		world.record(`client: ${id}: ${answer}`);
		const run = runs.get(id);
		const changes = run ? findChanges(request, run) : [];
		changed += changes.length > 0 ? 1 : 0;
		world.record(run ? `runner ${run.runner} ran ${id}: ${changes.length > 0 ? changes.join('; ') : 'as its client sent it'}` : `${id} was not run`);
	}

	world.record(`runs whose body, path, method, Model, Token-Count or Prompt-Prefix is not the client's: ${changed} of ${runs.size}`);
	return changed === 0;
});
