/* eslint-disable @stylistic/object-curly-newline, @stylistic/max-len */
/**
 * A request that crashes each runner that begins to run it comes again each second, at one entry after the other. Once it has crashed three runners, the
 * entries refuse it. Then the entries are stopped and started in turn. Counts the retries that reach a runner later than `contactMs` after the third crash, sent
 * by machines in touch.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {callOnce} from '../lib-2/client.mjs';
import {bounds, findPorts} from '../lib-2/entry.mjs';
import {answerOk, Runner} from '../lib-2/runner.mjs';
import {buildConfig, runCase} from '../lib-2/world.mjs';

const entryCount = 3;
const runnerCount = 5;
/** A crashed runner is back after this time. */
const awayMs = 1500;
const serviceMs = 40;
const retryPauseMs = 1000;
/** Pause between the restarts of two machines. */
const pauseBetweenMs = 11_000;
/** The rule allows so many retries; the request crashes as many runners before the count begins. */
const allowedRetries = 3;
const observeMs = 60_000;
const poison = {path: '/look/deadly', body: 'deadly'};

const config = buildConfig({
	routes: [{name: 'look', kind: 'idempotent', pathPrefix: '/look/', service: 'desk'}],
	services: [{name: 'desk'}],
});

/** Starts the runners. Returns the runs of the deadly request, and the other runs that a crash broke off. */
const startRunners = async world => {
	const deadlyRuns = [];
	const lostRuns = [];
	const answer = async (run, res, runner) => {
		if (run.body === poison.body) {
			deadlyRuns.push(run);
			world.record(`runner ${run.runner} begins ${run.id} and crashes`);
			runner.crash(awayMs);
			return;
		}

		await sleep(serviceMs);
		if (res.destroyed) {
			lostRuns.push(run);
			world.record(`runner ${run.runner} lost ${run.id}, which it had begun`);
			return;
		}

		answerOk(run, res, runner);
	};

	const ports = await findPorts(runnerCount);
	const runners = ports.map(port => new Runner({platform: world.platform, service: 'desk', port}, answer));
	world.onEnd(() => {
		for (const runner of runners) {
			runner.stop();
		}
	});
	await Promise.all(runners.map(async runner => runner.start()));
	return {deadlyRuns, lostRuns};
};

class Clients {
	isOver = false;
	/** By the id of each retry, whether the entry that it was sent to was in touch. */
	wasInTouch = new Map();
	/** When each machine was last killed, stopped or started. */
	disturbedMs = new Map();
	#world;

	constructor(world) {
		this.#world = world;
		for (const {name} of world.entries) {
			this.disturbedMs.set(name, 0);
		}
	}

	async sendDeadly() {
		const {entries, nowMs} = this.#world;
		this.#world.record(`begin at ${nowMs}`);
		for (let number = 1; !this.isOver; number += 1) {
			const {name, port} = entries[number % entryCount];
			const id = `deadly-${number}`;
			const wasInTouch = this.#world.nowMs - this.disturbedMs.get(name) >= bounds.contactMs;
			this.wasInTouch.set(id, wasInTouch);
			const {status, error} = await callOnce(port, {id, ...poison});
			this.#world.record(`client: ${id} at ${name} (in touch: ${wasInTouch}): ${status || error}`);
			await sleep(retryPauseMs);
		}
	}

	async sendOthers(client) {
		for (let number = 1; !this.isOver; number += 1) {
			const id = `look-${client}-${number}`;
			await callOnce(this.#world.entries[number % entryCount].port, {id, path: `/look/${id}`, body: id});
			await sleep(serviceMs / 2);
		}
	}
}

const restartInTurn = async (world, clients) => {
	for (const entry of world.entries) {
		clients.disturbedMs.set(entry.name, Number.POSITIVE_INFINITY);
		world.record(`SIGTERM ${entry.name}`);
		entry.signal('SIGTERM');
		await entry.waitForExit(bounds.graceS * 1000);
		entry.start();
		await entry.waitUntilReady();
		clients.disturbedMs.set(entry.name, world.nowMs);
		world.record(`${entry.name} is ready again`);
		await sleep(pauseBetweenMs);
	}
};

await runCase(import.meta.url, async world => {
	await world.startPlatform(config);
	const {deadlyRuns, lostRuns} = await startRunners(world);
	await world.startEntries(entryCount);
	await sleep(bounds.contactMs);
	const clients = new Clients(world);
	const ended = Promise.all([clients.sendDeadly(), clients.sendOthers(1), clients.sendOthers(2)]);
	const startMs = world.nowMs;
	while (deadlyRuns.length < allowedRetries && world.nowMs - startMs < 20_000) {
		await sleep(50);
	}

	const thirdMs = deadlyRuns[2].atMs;
	await sleep(bounds.contactMs + 1000);
	if (world.isTroubled) {
		await restartInTurn(world, clients);
	}

	await sleep(Math.max(0, thirdMs + observeMs - world.nowMs));
	clients.isOver = true;
	await ended;
	const counted = deadlyRuns.filter(({id, atMs}) => atMs > thirdMs + bounds.contactMs && clients.wasInTouch.get(id));
	world.record(`third crash at ${thirdMs}; runs of the request in all: ${deadlyRuns.length}; runs for others that a crash broke off: ${lostRuns.length}`);
	world.record(`retries that reached a runner later than ${bounds.contactMs} ms after the third crash, sent by machines in touch: ${counted.length} (${counted.map(({id}) => id).join(', ')}); allowed: ${allowedRetries}`);
	return counted.length <= allowedRetries;
});
