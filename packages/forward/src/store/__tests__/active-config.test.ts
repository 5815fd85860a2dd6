import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type ConfigVersion, type ForwardConfig} from '@hawthorncleat/core';
import {
	createManualClock, describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {ActiveConfig} from '../active-config.js';
import {DecisionLog} from '../../telemetry/decision-log.js';
import {Membership} from '../../peers/membership.js';
import {ForwardMetrics} from '../../telemetry/metrics.js';

/** The text of a configuration is its version; another text is damaged. */
const readConfig = (text: string): ForwardConfig | undefined => Number.isNaN(Number(text))
	? undefined
	: {
		version: brandAs<ConfigVersion>(Number(text)), routes: [], services: [], accounts: [], limits: {},
	} as unknown as ForwardConfig;

const storeDeliveryMs = 1000;

type Fixture = {
	readonly config: ActiveConfig;
	readonly logLines: readonly string[];
	/** Number of times that the peer was asked. */
	readonly asked: () => number;
	/** Whether the store answers calls for the configuration. */
	isStoreAvailable: boolean;
	passTime(ms: number): void;
	/** A peer whose gossip names a version. */
	hearVersion(version: number, name?: string): void;
	/** Lets the store give the peer's member row, or that of another entry at a port where nobody listens. */
	addMember(name?: string): void;
};

/** Sends a text in parts, with pauses between them, as a narrow link does. */
const sendSlowly = async (res: ServerResponse, parts: readonly string[], pauseMs: number): Promise<void> => {
	for (const part of parts) {
		await sleep(pauseMs);
		res.write(part);
	}

	res.end();
};

/** Runs a test with an entry and a peer that has version 4. */
const withPeer = async (body: (fixture: Fixture) => Promise<void>, serve = (res: ServerResponse): void => {
	res.end('4');
}): Promise<void> => {
	let asked = 0;
	const server = createServer((_req, res) => {
		asked += 1;
		serve(res);
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const clock = createManualClock(100_000);
	const members = new Membership(clock, 'e1', () => undefined);
	const logLines: string[] = [];
	const log = new DecisionLog(clock, {
		write(line) {
			logLines.push(line);
		},
		pendingBytes: () => 0,
	}, 'e1');
	const config = new ActiveConfig({
		clock, random: () => 0, readConfig, members, isStoreAvailable: () => fixture.isStoreAvailable, storeDeliveryMs, log, metrics: new ForwardMetrics(),
	});
	const fixture: Fixture = {
		config,
		logLines,
		asked: () => asked,
		isStoreAvailable: true,
		passTime(ms) {
			clock.advance(ms);
		},
		hearVersion(version, name = 'e2') {
			config.recordPeerVersion({name, address: loopback, port: 1}, version);
		},
		addMember(name = 'e2') {
			const value = JSON.stringify({
				address: loopback, gossipPort: 1, peerPort: name === 'e2' ? port : 1, wallOffsetMs: 0,
			});
			members.apply({rows: [{key: name, value, version: 1}]} as unknown as Parameters<Membership['apply']>[0], false);
		},
	};
	try {
		await body(fixture);
	} finally {
		server.close();
		server.closeAllConnections();
	}
};

describe('the configuration after the return of the store from a copy', () => {
	it('of an entry that starts before the operator writes it again is that of its peers; guards against callers of two versions', async () => withPeer(async fixture => {
		const {config, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('3', 'store');
		hearVersion(4);
		passTime(storeDeliveryMs);
		hearVersion(4);
		await waitUntil(() => config.version === 4);
		config.apply('3', 'store');
		assert.is(config.version, 4);
		assert.is(config.text, '4');
	}));

	it('is fetched from a peer once its lost member row is back; guards against an entry that stays on the older version', async () => withPeer(async fixture => {
		const {config, hearVersion, passTime, addMember} = fixture;
		config.apply('3', 'store');
		hearVersion(4);
		assert.is(config.version, 3);
		addMember();
		hearVersion(4);
		passTime(storeDeliveryMs);
		hearVersion(4);
		await waitUntil(() => config.version === 4);
	}));

	it('that is read from the store while a peer is asked for an older one stays; guards against a late answer that goes back', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('3', 'store');
		hearVersion(4);
		passTime(storeDeliveryMs);
		hearVersion(4);
		config.apply('5', 'store');
		await sleep(200);
		assert.is(asked(), 1);
		assert.is(config.version, 5);
	}));
});

describe('the configuration of a peer', () => {
	// The limit of 500 ms held for the whole text, so that a large one was given up and asked for again, without end.
	it('is taken however long its transfer takes; guards against an entry without store that stays behind', async () => withPeer(async fixture => {
		fixture.addMember();
		fixture.config.apply('3', 'store');
		fixture.isStoreAvailable = false;
		fixture.hearVersion(4);
		await waitUntil(() => fixture.config.version === 4, {limitMs: 2500});
	}, res => {
		void sendSlowly(res, [' ', ' ', ' ', ' ', '4'], 200);
	}));

	it('is given up when no bytes arrive, and asked for again a second later; guards against a peer that has gone silent', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime} = fixture;
		fixture.addMember();
		config.apply('3', 'store');
		fixture.isStoreAvailable = false;
		hearVersion(4);
		await sleep(700);
		hearVersion(4);
		await sleep(50);
		assert.is(asked(), 1);
		passTime(1000);
		hearVersion(4);
		await waitUntil(() => asked() === 2);
	}, res => {
		res.write(' ');
	}));

	// Each datagram of a peer led to a transfer of the same text beside that of the store.
	it('is not asked for while the store has time to deliver it; guards against a link that is filled twice', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('3', 'store');
		for (let datagram = 0; datagram < 9; datagram += 1) {
			hearVersion(4);
			passTime(100);
		}

		await sleep(100);
		assert.is(asked(), 0);
		passTime(100);
		hearVersion(4);
		await waitUntil(() => config.version === 4);
	}));

	// A quiet peer tells of its version once a second, so an entry that asked only on its datagrams asked up to a second too late.
	it('is asked for as soon as that time is over; guards against an entry that waits for the next word of a quiet peer', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('3', 'store');
		hearVersion(4);
		passTime(storeDeliveryMs - 1);
		config.fetchIfDue();
		await sleep(50);
		assert.is(asked(), 0);
		passTime(1);
		config.fetchIfDue();
		await waitUntil(() => config.version === 4);
	}));

	it('is asked for once if the peer has an older one; guards against an entry that asks a restarted peer all the time', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('4', 'store');
		hearVersion(5);
		passTime(storeDeliveryMs);
		await waitUntil(() => {
			config.fetchIfDue();
			return asked() === 1;
		});
		for (let check = 0; check < 5; check += 1) {
			await sleep(20);
			config.fetchIfDue();
		}

		assert.is(asked(), 1);
	}));

	it('is not asked for when the peer has told of an older one since; guards against transfers that bring nothing', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('4', 'store');
		hearVersion(5);
		hearVersion(3);
		passTime(storeDeliveryMs);
		config.fetchIfDue();
		await sleep(50);
		assert.is(asked(), 0);
	}));

	it('that is damaged is logged, and the active one stays; guards against a version that is missing without a trace', async () => withPeer(async ({config, logLines}) => {
		config.apply('3', 'store');
		config.apply('damaged', 'e2');
		assert.is(config.version, 3);
		assert.match(logLines.at(-1)!, 'reading a configuration from e2');
	}));

	it('is not asked for any more once the store has delivered it; guards against transfers of a version that is in force', async () => withPeer(async fixture => {
		const {config, asked, hearVersion, passTime, addMember} = fixture;
		addMember();
		config.apply('3', 'store');
		hearVersion(4);
		config.apply('4', 'store');
		passTime(storeDeliveryMs);
		config.fetchIfDue();
		await sleep(50);
		assert.is(asked(), 0);
	}));

	it('is asked for at another peer when one does not answer; guards against an entry that waits for a peer that is gone', async () => withPeer(async fixture => {
		const {config, hearVersion, passTime, addMember} = fixture;
		addMember('e0');
		addMember();
		config.apply('3', 'store');
		hearVersion(4, 'e0');
		hearVersion(4);
		passTime(storeDeliveryMs);
		await waitUntil(() => {
			config.fetchIfDue();
			return config.version === 4;
		});
	}));

	it('is asked for at once by an entry that has none; guards against a start that waits for a large transfer of the store', async () => withPeer(async ({config, hearVersion, addMember}) => {
		addMember();
		hearVersion(4);
		await waitUntil(() => config.version === 4);
	}));
});
