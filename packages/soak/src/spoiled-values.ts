/**
 * Values that another writer or a damaged network spoils: rows of the tables that entries follow or read, and datagrams to their gossip ports. They are no
 * disturbance of an entry: every promise holds under them.
 */
import {createSocket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import {loopback} from '@hawthorncleat/test-kit';
import type {SeededRandom} from '@hawthorncleat/histories';
import type {World} from './world.js';

/** The rows of another writer have these keys, so that they replace none of an entry or an endpoint. */
const foreignKeys = ['x1', 'x2', 'x3'];

const soundRegistration = {
	service: 'desk', address: `${loopback}:9`, zone: 'a', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: 1, born: 1,
};
const soundMember = {
	address: loopback, gossipPort: 9, peerPort: 9, dataCentre: 'a', wallOffsetMs: 0,
};
const soundMessage = {
	from: 'e1', config: 1, phase: ['ready', 0], changing: [], running: [], prefills: [], sent: [],
};

/** Valid for no field below but the names, and nobody uses the name. */
const spoiledParts: readonly unknown[] = [null, 'x', {}, true];

type Fields = Readonly<Record<string, unknown>>;

/** A value that is no object, or an object with one field that makes it invalid. */
const spoil = (sound: Fields, requiredFields: readonly string[], random: SeededRandom): unknown =>
	random.chance(0.3) ? random.pick(spoiledParts) : {...sound, [random.pick(requiredFields)]: random.pick(spoiledParts)};

/** Windows for which rows of usage counts are in the store, as they begin their keys. */
const findUsageWindows = ({store}: World): string[] => [...store.takeCopy().rows.values()]
	.filter(({table}) => table === 'usage')
	.map(({key}) => key.slice(0, key.indexOf('/')));

const sendDatagram = async (text: string, port: number): Promise<void> => {
	const socket = createSocket('udp4');
	await new Promise(resolve => {
		socket.send(text, port, loopback, resolve);
	});
	socket.close();
};

type SpoiledValue = (world: World, random: SeededRandom) => Promise<void>;

type ForeignRow = {readonly table: string; readonly key?: string; readonly value: unknown};

/** Writes a row and removes it up to some seconds later. */
const writeBriefly = async ({store}: World, random: SeededRandom, {table, key = random.pick(foreignKeys), value}: ForeignRow): Promise<void> => {
	store.put(table, key, value);
	await sleep(random.integer(100, 3000));
	store.put(table, key, undefined);
};

export const spoiledValues: Readonly<Record<string, SpoiledValue>> = {
	async spoiledRegistration(world, random) {
		const value = random.chance(0.3)
			? {...soundRegistration, address: random.pick([':9100', `${loopback}:0`, `${loopback}:70000`, 'example:9', '9'])}
			: spoil(soundRegistration, ['service', 'address', 'zone', 'state', 'seq'], random);
		await writeBriefly(world, random, {table: 'servers', value});
	},
	async spoiledMember(world, random) {
		await writeBriefly(world, random, {table: 'members', value: spoil(soundMember, ['address', 'gossipPort', 'peerPort', 'wallOffsetMs'], random)});
	},
	async spoiledUsage(world, random) {
		const windows = findUsageWindows(world);
		if (windows.length > 0) {
			await writeBriefly(world, random, {table: 'usage', key: `${random.pick(windows)}/${random.pick(foreignKeys)}`, value: spoil({}, ['acme'], random)});
		}
	},
	async spoiledQuarantine(world, random) {
		const sound = {
			segment: 'models/x', companions: [], refutedAfterMs: 0, untilMs: 1e12,
		};
		await writeBriefly(world, random, {table: 'quarantines', value: spoil(sound, ['segment', 'companions', 'untilMs'], random)});
	},
	async spoiledOperatorRow(world, random) {
		await writeBriefly(world, random, {table: 'op', value: random.pick(spoiledParts)});
	},
	async spoiledDatagrams(world, random) {
		const {ports} = random.pick(world.entries);
		for (let datagram = 0; datagram < 20; datagram += 1) {
			const text = JSON.stringify(spoil({...soundMessage, from: random.pick(world.entries).name}, ['config', 'changing', 'running', 'sent'], random)) ?? '';
			await sendDatagram(random.chance(0.2) ? text.slice(0, random.integer(0, text.length)) : text, ports.gossip);
			await sleep(random.integer(0, 50));
		}
	},
};
