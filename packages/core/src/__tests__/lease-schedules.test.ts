import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {LeaseHolder, defaultLeaseDurations, LeaseTaker} from '../index.js';
import {findViolation, stepKind} from './schedules.js';

type Row = {version: number; holder: number; writeId: number; epochVersion: number};

/** A request that was sent and whose answer has not been received yet. It has a `result` once the table has processed it. */
type PendingRequest = {
	readonly kind: 'read' | 'take' | 'renew' | 'effect';
	readonly sender: number;
	readonly sentMs: number;
	readonly version: number;
	readonly writeId: number;
	result?: {readonly row: Row; readonly isApplied: boolean};
	isAnswerAwaited: boolean;
};

type Process = {
	taker: LeaseTaker;
	holder?: LeaseHolder | undefined;
	version: number;
	epochVersion: number;
	lastTake: {readonly writeId: number; readonly sentMs: number};
};

type World = {
	nowMs: number;
	row: Row;
	nextWriteId: number;
	pendingRequests: PendingRequest[];
	readonly processes: Process[];
	/** Planted fault: a holder counts the duration of its lease from the answer instead of from the request. */
	readonly startsLeaseAtAnswer: boolean;
	/** False is a planted fault: transactions of the duty do not check the epoch row. */
	readonly checksEpoch: boolean;
};

const isHeld = ({nowMs}: World, process: Process): boolean => process.holder?.isHeld(nowMs) ?? false;

const send = (world: World, sender: number, kind: PendingRequest['kind'], version = 0): PendingRequest => {
	world.nextWriteId += 1;
	const request: PendingRequest = {
		kind, sender, sentMs: world.nowMs, version, writeId: world.nextWriteId, isAnswerAwaited: true,
	};
	world.pendingRequests.push(request);
	return request;
};

const applyWrite = (world: World, {kind, sender, writeId}: PendingRequest): void => {
	const {row} = world;
	world.row = {
		version: row.version + 1, holder: sender, writeId, epochVersion: row.epochVersion + (kind === 'take' ? 1 : 0),
	};
};

const applyEffect = (world: World, {sender, version}: PendingRequest): boolean => {
	const isApplied = !world.checksEpoch || world.row.epochVersion === version;
	assert.ok(!isApplied || world.row.holder === sender, 'an effect of a former holder');
	return isApplied;
};

const processAtTable = (world: World, index: number): void => {
	const unprocessed = world.pendingRequests.filter(request => !request.result);
	const request = unprocessed[index % Math.max(1, unprocessed.length)];
	if (!request) {
		return;
	}

	let isApplied = false;
	if (request.kind === 'effect') {
		isApplied = applyEffect(world, request);
	} else if (request.kind !== 'read' && world.row.version === request.version) {
		isApplied = true;
		applyWrite(world, request);
	}

	request.result = {row: {...world.row}, isApplied};
};

const startTenure = (world: World, process: Process, row: Row, sentMs: number): void => {
	const holder = new LeaseHolder(defaultLeaseDurations, world.startsLeaseAtAnswer ? world.nowMs : sentMs);
	if (holder.isHeld(world.nowMs)) {
		process.holder = holder;
		process.version = row.version;
		process.epochVersion = row.epochVersion;
	}
};

const receiveRead = (world: World, sender: number, row: Row): void => {
	const process = world.processes[sender]!;
	if (isHeld(world, process)) {
		// After a renewal whose answer was lost, the holder adopts the version of the row if the epoch is still its own.
		process.version = row.epochVersion === process.epochVersion ? row.version : process.version;
		return;
	}

	if (row.writeId === process.lastTake.writeId) {
		startTenure(world, process, row, process.lastTake.sentMs);
	}

	const observation = {version: row.version, released: row.holder === -1};
	if (!isHeld(world, process) && process.taker.observe(observation, world.nowMs)) {
		const {writeId, sentMs} = send(world, sender, 'take', row.version);
		process.lastTake = {writeId, sentMs};
	}
};

const receiveAnswer = (world: World, index: number): void => {
	const processed = world.pendingRequests.filter(request => request.result);
	const request = processed[index % Math.max(1, processed.length)];
	if (!request) {
		return;
	}

	world.pendingRequests = world.pendingRequests.filter(other => other !== request);
	const {kind, sender, sentMs, result, isAnswerAwaited} = request;
	const process = world.processes[sender]!;
	if (!isAnswerAwaited) {
		return;
	}

	if (kind === 'read') {
		receiveRead(world, sender, result!.row);
	} else if (result!.isApplied && kind === 'take') {
		startTenure(world, process, result!.row, sentMs);
	} else if (result!.isApplied && kind === 'renew' && isHeld(world, process)) {
		process.holder!.recordRenewal(sentMs, world.nowMs);
		process.version = result!.row.version;
	}
};

const loseAnswer = (world: World, index: number): void => {
	const request = world.pendingRequests[index % Math.max(1, world.pendingRequests.length)];
	if (request) {
		request.isAnswerAwaited = false;
	}
};

const sendAsHolder = (world: World, sender: number, kind: 'renew' | 'effect'): void => {
	const process = world.processes[sender]!;
	if (isHeld(world, process)) {
		send(world, sender, kind, kind === 'renew' ? process.version : process.epochVersion);
	}
};

const createProcess = (): Process => ({
	taker: new LeaseTaker(defaultLeaseDurations), version: 0, epochVersion: 0, lastTake: {writeId: -1, sentMs: 0},
});

const search = (faults: {readonly startsLeaseAtAnswer?: boolean; readonly checksEpoch?: boolean}): string | undefined => findViolation<World>({
	seed: 20_262,
	runs: 6000,
	steps: 300,
	createWorld: () => ({
		nowMs: 0,
		row: {
			version: 1, holder: -1, writeId: 0, epochVersion: 1,
		},
		nextWriteId: 0,
		pendingRequests: [],
		processes: [createProcess(), createProcess()],
		startsLeaseAtAnswer: faults.startsLeaseAtAnswer ?? false,
		checksEpoch: faults.checksEpoch ?? true,
	}),
	kinds: [
		stepKind('advance', [4], (world, size) => {
			world.nowMs += [100, 1500, 3000, 4500][size]!;
		}),
		stepKind('read', [2], (world, sender) => {
			send(world, sender, 'read');
		}),
		stepKind('process at table', [4], processAtTable),
		stepKind('receive answer', [4], receiveAnswer),
		stepKind('read and receive answer', [2], (world, sender) => {
			const request = send(world, sender, 'read');
			request.result = {row: {...world.row}, isApplied: false};
			receiveAnswer(world, world.pendingRequests.filter(({result}) => result).length - 1);
		}),
		stepKind('lose answer', [8], loseAnswer),
		stepKind('renew', [2], (world, sender) => {
			sendAsHolder(world, sender, 'renew');
		}),
		stepKind('effect', [2], (world, sender) => {
			sendAsHolder(world, sender, 'effect');
		}),
	],
	check(world) {
		assert.ok(world.processes.filter(process => isHeld(world, process)).length <= 1, 'two holders');
	},
});

describe('leases under random schedules', () => {
	it('have one holder and no effect of a former holder, whichever processes pause and messages are lost or slow', () => {
		assert.is(search({}), undefined);
	});

	it('would detect a holder that counts the expiry from the answer', () => {
		assert.match(search({startsLeaseAtAnswer: true}) ?? '', 'two holders');
	});

	it('would detect transactions of a duty that do not check the epoch row', () => {
		assert.match(search({checksEpoch: false}) ?? '', 'an effect of a former holder');
	});
});
