/**
 * The parts of a message between entries: which of them are news to its receivers, and whether they can be sent in several datagrams.
 */
import {countRequestNews} from '../quarantines/request-news.js';
import type {GossipMessage} from './gossip-message.js';

/** What is new to the receivers, without ages and amounts, which change all the time. */
export const describeState = ({load: {running, prefills = []}, roleChanges, crashes, limitNews, segments, requests, phase}: GossipMessage): string => JSON.stringify([
	running,
	prefills.map(({endpoint}) => endpoint),
	roleChanges,
	crashes.map(({fingerprint, endpoint}) => [fingerprint, endpoint]),
	segments?.crashes.map(({endpoint}) => endpoint),
	[...segments?.completed ?? [], ...segments?.quarantines ?? []].map(({segment}) => segment),
	requests?.quarantines.map(({fingerprint, count, trials}) => [fingerprint, count, trials]),
	requests?.completed.map(({fingerprint}) => fingerprint),
	limitNews?.limits.map(({id, perSecond}) => [id, perSecond]),
	phase.phase,
]);

/** Whether a message has parts that can be sent in another datagram. The load of running requests is in each of them. */
export const isDivisible = ({load: {sent}, crashes, departures, limitNews, accounts, segments, requests, streams = [], usage}: GossipMessage): boolean =>
	sent.length > 1
	|| (departures.length + streams.length + (limitNews?.limits.length ?? 0) + (accounts?.accounts.length ?? 0) + (requests ? countRequestNews(requests) : 0) > 0
		&& (sent.length > 0 || crashes.length > 0 || segments !== undefined || usage !== undefined));
