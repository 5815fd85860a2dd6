/**
 * Connects the crash guard of an entry to its log and to the store. A quarantine costs a write by the entry that has detected the crash and one by the first entry of
 * the fleet, in case the former is cut off from the store; none while it lasts.
 */
import type {Clock, SegmentQuarantine} from '@hawthorncleat/core';
import {refusesConnections} from '../endpoints/refuses-connections.js';
import type {Membership} from '../peers/membership.js';
import {CrashGuard} from '../quarantines/crash-guard.js';
import type {QuarantineRows} from '../quarantines/quarantine-rows.js';
import type {RequestChange} from '../quarantines/request-quarantines.js';
import type {DecisionLog} from '../telemetry/decision-log.js';

type Logging = {readonly clock: Clock; readonly log: DecisionLog};

export type CrashGuardComponents = {
	readonly members: Pick<Membership, 'position'>;
	readonly quarantineRows: Pick<QuarantineRows, 'removeRequest' | 'removeSegment' | 'saveRequests' | 'saveSegments'>;
};

type LoggedQuarantine = SegmentQuarantine & {readonly isAdopted?: boolean; readonly isTrial?: boolean};

const logSegment = ({clock, log}: Logging, {segment, companions, untilMs, isAdopted, isTrial}: LoggedQuarantine): void => {
	log.write('quarantine', {
		segment, companions, forMs: Math.round(untilMs - clock.nowMs()), isAdopted, isTrial,
	});
};

const logRequest = ({clock, log}: Logging, {kind, fingerprint, quarantine}: RequestChange): void => {
	log.write('quarantine', {
		request: fingerprint,
		forMs: quarantine ? Math.round(quarantine.heldUntilMs - clock.nowMs()) : 0,
		count: quarantine?.count,
		isAdopted: kind === 'learned' || kind === 'restored',
		...kind === 'trial' && {isTrial: true},
	});
};

/** Keeps the store up to date. Trials are not kept, and of a quarantine that all entries learn of, only the first one writes it. */
const keepRequest = ({members, quarantineRows}: CrashGuardComponents, {kind, fingerprint, quarantine}: RequestChange): void => {
	const isFirst = members.position().index === 0;
	if (kind === 'ended' && isFirst) {
		void quarantineRows.removeRequest(fingerprint);
	}

	if (quarantine && (kind === 'begun' || (kind === 'learned' && isFirst && quarantine.trials === 0))) {
		void quarantineRows.saveRequests([quarantine]);
	}
};

/** Creates the crash guard of an entry. */
export const createCrashGuard = (logging: Logging, components: CrashGuardComponents): CrashGuard => {
	const {clock, log} = logging;
	const {members, quarantineRows} = components;
	return new CrashGuard({
		clock,
		position: () => members.position(),
		refusesConnections,
		onCrash({endpoint, requests}) {
			log.write('endpoint', {
				id: endpoint, was: 'running', is: 'crashed', requests,
			});
		},
		onQuarantine(quarantine) {
			logSegment(logging, {...quarantine, isAdopted: false});
			void quarantineRows.saveSegments([quarantine]);
		},
		onAdoption(quarantine) {
			logSegment(logging, {...quarantine, isAdopted: true});
		},
		onTrial(quarantine) {
			logSegment(logging, {...quarantine, isTrial: true});
			void quarantineRows.saveSegments([quarantine]);
		},
		onQuarantineEnd(segment) {
			log.write('quarantine', {segment, forMs: 0});
			void quarantineRows.removeSegment(segment);
		},
		onRequestChange(change) {
			logRequest(logging, change);
			keepRequest(components, change);
		},
	});
};
