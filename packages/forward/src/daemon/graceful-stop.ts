/**
 * The graceful stop of an entry: withdraws its readiness, closes its listening socket and waits for running requests to end. When it does the first two
 * depends on the other entries, so that a rolling restart always leaves one that accepts connections.
 */
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {decideStop, type Clock, type StopLimits} from '@hawthorncleat/core';
import type {CallerConnections} from '../callers/caller-connections.js';
import {waitForPendingInput} from '../callers/pending-input.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import {closeListener} from '../callers/servers.js';
import type {EntryPhases} from './entry-phases.js';

const pollMs = 50;
/** Callers give up a connection on which nothing is read for a second. */
const maxAcceptMs = 1000;
/** How long a connection without a complete head of a request may delay the end of a stop. The rest usually arrives within one round trip. */
const unusedConnectionMs = 500;
/** Time for the answers to requests that still run at the limit. The platform ends the process 0.08 of its grace period after the limit, 0.64 s of 8 s. */
const maxAnswerMs = 200;
const answerPollMs = 10;

export type GracefulStopOptions = {
	readonly clock: Clock;
	readonly ownName: string;
	readonly phases: EntryPhases;
	readonly server: Server;
	readonly connections: CallerConnections;
	/** Ends the requests that still run when the time of the stop is up. */
	readonly endRequests: () => void;
	readonly limits: StopLimits;
	readonly log: DecisionLog;
};

/** Waits until the next step of the stop may be taken; returns the reason. */
const waitForStep = async (step: 'close' | 'withdraw', {ownName, phases, limits, log}: GracefulStopOptions): Promise<string> => {
	let lastReason: string | undefined;
	for (;;) {
		const decision = decideStop({
			ownName, stoppingMs: phases.stoppingMs, unreadyMs: phases.unreadyMs, peers: phases.peers(),
		}, limits);
		if (decision.step !== 'wait') {
			return decision.reason;
		}

		if (decision.reason !== lastReason) {
			lastReason = decision.reason;
			log.write('stop', {phase: phases.own.phase, next: step, reason: lastReason});
		}

		await sleep(pollMs);
	}
};

/** Accepts the connections in the listening queue, which its close would reset. Node.js accepts one in each turn of the event loop. */
const acceptPending = async ({clock, connections}: GracefulStopOptions): Promise<void> => {
	const endMs = clock.nowMs() + maxAcceptMs;
	let acceptedBefore: number;
	do {
		acceptedBefore = connections.accepted;
		await waitForPendingInput();
	} while (connections.accepted > acceptedBefore && clock.nowMs() < endMs);
};

const hasTime = ({phases, limits}: GracefulStopOptions): boolean => phases.stoppingMs < limits.stopMs;

/** Waits until no request runs, or may still arrive on a connection that was accepted before the listening socket was closed. */
const waitForRequests = async (options: GracefulStopOptions): Promise<void> => {
	const {clock, connections} = options;
	const closedMs = clock.nowMs();
	const hasUnanswered = (): boolean => {
		const {running, unused, receiving} = connections.counts;
		return running > 0 || (unused + receiving > 0 && clock.nowMs() - closedMs < unusedConnectionMs);
	};

	while (hasUnanswered() && hasTime(options)) {
		await sleep(pollMs);
		await connections.closeIdle(() => hasTime(options));
	}
};

/** Ends the requests that still run at the limit of the stop, and waits until their answers have been sent. */
const answerRunning = async ({clock, connections, endRequests}: GracefulStopOptions): Promise<void> => {
	const endMs = clock.nowMs() + maxAnswerMs;
	endRequests();
	while (connections.running > 0 && clock.nowMs() < endMs) {
		await sleep(answerPollMs);
	}
};

/** Runs the stop; resolves when the process may end. */
export const stopGracefully = async (options: GracefulStopOptions): Promise<void> => {
	const {phases, server, connections, log} = options;
	const logStep = (phase: string, reason?: string): void => {
		log.write('stop', {
			phase, reason, stoppingMs: Math.round(phases.stoppingMs), ...connections.counts,
		});
	};

	phases.beginStop();
	logStep('waiting');
	const withdrawReason = await waitForStep('withdraw', options);
	phases.withdraw();
	logStep('leaving', withdrawReason);
	const closeReason = await waitForStep('close', options);
	logStep('closing', closeReason);
	await acceptPending(options);
	closeListener(server);
	await connections.closeIdle(() => hasTime(options));
	await waitForRequests(options);
	logStep('ending');
	await answerRunning(options);
};
