/**
 * A process that runs a duty under a lease: it reports each moment at which it believes that it is in charge, and it
 * orders endpoints step by step, each order first written as an intent under the check of the lease. It ends by signal.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import type {LeaseDurations} from '@hawthorncleat/core';
import {
	createEndpointOrdersClient, createHttpClient, createTableClient, isStoreError, runLease, type Lease,
} from '@hawthorncleat/store';

const [platformUrl = '', holder = '', durationsText = ''] = process.argv.slice(2);
const durations = JSON.parse(durationsText) as LeaseDurations;
const dataCentre = 'dc-1';
const stepKey = `endpoint-step/${dataCentre}`;
const reportMs = 5;
const orderMs = 20;
const nanosecondsPerMs = 1e6;

const {signal} = new AbortController();
const http = createHttpClient({url: platformUrl}, signal);
const table = createTableClient(http);
const endpointOrders = createEndpointOrdersClient(http);

/** The machine's monotonic clock, which all processes share. */
const readClock = (): number => Number(process.hrtime.bigint()) / nanosecondsPerMs;

/** The clock is read before the lease is asked, so that a pause in between shows no later moment. */
const report = ({duty, epoch, isHeld}: Lease): void => {
	const atMs = readClock();
	if (isHeld()) {
		process.stdout.write(`${JSON.stringify({
			duty, holder, epoch, atMs,
		})}\n`);
	}
};

const orderNext = async (lease: Lease): Promise<void> => {
	const row = await table.read(stepKey);
	const step = ((row?.value as {step?: number} | undefined)?.step ?? 0) + 1;
	const order = {
		orderId: `${step}/${holder}/${lease.epoch}`, dataCentre, serves: 'restock', kind: 'add' as const,
	};
	const result = await table.transact({
		writeId: randomUUID(),
		checks: [lease.check(), {key: stepKey, version: row?.version ?? null}],
		puts: [{key: stepKey, value: {step}}, {key: `endpoint-order/${dataCentre}/${step}`, value: order}],
		deletes: [],
	});
	if (result.ok) {
		await endpointOrders.send(order, {maySend: () => lease.isHeld()});
	}
};

const keepOrdering = async (lease: Lease, ending: AbortSignal): Promise<void> => {
	while (!ending.aborted) {
		try {
			await orderNext(lease);
		} catch (error) {
			if (!isStoreError(error)) {
				throw error;
			}
		}

		await delay(orderMs, undefined, {signal: ending}).catch(() => undefined);
	}
};

await runLease({
	duty: `endpoint-orders/${dataCentre}`,
	holder,
	table,
	clock: {nowMs: () => performance.now()},
	makeId: randomUUID,
	durations,
	async onHeld(lease, ending) {
		const timer = setInterval(() => {
			report(lease);
		}, reportMs);
		await keepOrdering(lease, ending);
		clearInterval(timer);
	},
}, signal);
