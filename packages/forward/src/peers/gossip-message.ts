/**
 * Messages between entries as datagrams: what they hold, and their encoding as JSON with tuples in place of the longest lists. A datagram may be
 * damaged, foreign or from another version, so everything is checked before it is used. Tuples that are not valid are left out, because a later
 * version may send other ones; a message without its required fields counts as lost.
 */
import {
	brandAs, priorityLevelCount, type EndpointId, type EndpointRole, type EntryPhase, type Fingerprint, type LevelWork, type PromptSegment, type RequestId, type ServiceDemand,
	type SoftwareVersion,
} from '@hawthorncleat/core';
import {decodeAccountNews, encodeAccountNews, type AccountNews} from '../accounts/account-news.js';
import type {CrashReport} from '../quarantines/crash-guard.js';
import {departureKinds, type Departure, type DepartureKind} from '../endpoints/departures.js';
import type {SentPhase} from '../daemon/entry-phases.js';
import {decodeSpeed, encodeSpeed} from '../endpoints/engine-speeds.js';
import type {
	EntryLoad, PendingPrefills, RunningCount, SentWork,
} from '../endpoints/load-tracker.js';
import type {LimitNews, ToldLimit} from '../endpoints/rate-limits.js';
import type {RoleChange} from '../roles/role-changes.js';
import {
	countRequestNews, decodeRequestNews, encodeRequestNews, type RequestNews,
} from '../quarantines/request-news.js';
import type {SegmentNews} from '../quarantines/segment-quarantines.js';
import type {StreamNews} from '../streams/stream-origins.js';
import type {UsageNotice} from '../usage/usage-counter.js';
import {isUsageCounts} from '../usage/usage-sums.js';
import {
	isAmount, isFields, isListOf, isText, parseJson, type Fields,
} from '../utils/value-checks.js';

/** What one entry tells another. */
export type GossipMessage = {
	readonly from: string;
	readonly configVersion: number;
	readonly phase: SentPhase;
	/** Engines whose role the sender is changing. */
	readonly roleChanges: readonly RoleChange[];
	readonly load: EntryLoad;
	/** Requests that were running at endpoints that crashed. */
	readonly crashes: readonly CrashReport[];
	/** Processes of endpoints that have left or are leaving. */
	readonly departures: readonly Departure[];
	/** Limits that endpoints name, and the demand of the sender's callers for their services. */
	readonly limitNews?: LimitNews;
	/** What the sender has spent of the limits of client accounts. */
	readonly accounts?: AccountNews;
	/** News about prompt segments that crash engines. */
	readonly segments?: SegmentNews;
	/** News about requests that crash endpoints. */
	readonly requests?: RequestNews;
	/** Streams that the sender has begun, while several software versions are in use. */
	readonly streams?: readonly StreamNews[];
	/** Usage that is not in the store yet. Only some messages carry it. */
	readonly usage?: UsageNotice;
};

/** Segments of a prompt that are told; others rarely share more. */
const maxSegmentsPerWork = 3;

type Tuple = readonly unknown[];

const isTuple = (value: unknown): value is Tuple => Array.isArray(value);
const isLevel = (value: unknown): value is number => isAmount(value) && Number.isInteger(value) && value < priorityLevelCount;

/** Decodes the valid tuples of a list. */
const decodeList = <Item>(value: unknown, decode: (tuple: Tuple) => Item | undefined): Item[] =>
	isTuple(value) ? value.map(tuple => isTuple(tuple) ? decode(tuple) : undefined).filter(item => item !== undefined) : [];

const encodeRunning = ({endpoint, requests, late, tokens}: RunningCount): Tuple => [endpoint, requests, late, Math.round(tokens)];

const decodeRunning = ([endpoint, requests, late, tokens]: Tuple): RunningCount | undefined =>
	isText(endpoint) && isAmount(requests) && isAmount(late) && isAmount(tokens)
		? {
			endpoint, requests, late, tokens,
		}
		: undefined;

const encodePrefills = ({endpoint, work}: PendingPrefills): Tuple => [endpoint, work.map(({level, ms}) => [level, Math.round(ms)] as const)];

const decodeLevelWork = ([level, ms]: Tuple): LevelWork | undefined => isLevel(level) && isAmount(ms) ? {level, ms} : undefined;

const decodePrefills = ([endpoint, levels]: Tuple): PendingPrefills | undefined =>
	isText(endpoint) ? {endpoint, work: decodeList(levels, tuple => decodeLevelWork(tuple))} : undefined;

const decodeSegment = ([id, tokens]: Tuple): PromptSegment | undefined => isText(id) && isAmount(tokens) ? {id, tokens} : undefined;

/** Omits the last prompt segment: it belongs to one request or session, so no other request shares its KV cache. */
const encodeSent = ({endpoint, level, tokens, cachedTokens, outputTokens, segments, isRefused}: SentWork): Tuple => [
	endpoint,
	level,
	Math.round(tokens),
	Math.round(outputTokens),
	segments.slice(0, Math.max(0, Math.min(maxSegmentsPerWork, segments.length - 1))).map(({id, tokens}) => [id, tokens] as const),
	isRefused ? 1 : 0,
	Math.round(cachedTokens),
];

/** Entries of earlier versions do not tell the cached tokens. */
const decodeSent = ([endpoint, level, tokens, outputTokens, segments, isRefused, cachedTokens = 0]: Tuple): SentWork | undefined =>
	isText(endpoint) && isLevel(level) && isAmount(tokens) && isAmount(outputTokens) && isAmount(cachedTokens)
		? {
			endpoint, level, tokens, cachedTokens, outputTokens, segments: decodeList(segments, tuple => decodeSegment(tuple)), isRefused: isRefused === 1,
		}
		: undefined;

const encodeCrash = ({fingerprint, endpoint, ageMs, crashes}: CrashReport): Tuple => [fingerprint, endpoint, Math.round(ageMs), crashes];

/** Entries of earlier versions tell neither age nor count. */
const decodeCrash = ([fingerprint, endpoint, ageMs = 0, crashes = 0]: Tuple): CrashReport | undefined =>
	isText(fingerprint) && isText(endpoint) && isAmount(ageMs) && isAmount(crashes)
		? {
			fingerprint: brandAs<Fingerprint>(fingerprint), endpoint, ageMs, crashes,
		}
		: undefined;

const kinds = new Set<unknown>(departureKinds);

const encodeDeparture = ({id, startedAt, kind, heartbeat, ageMs}: Departure): Tuple => [id, startedAt, kind, heartbeat, Math.round(ageMs)];

const decodeDeparture = ([id, startedAt, kind, heartbeat, ageMs]: Tuple): Departure | undefined =>
	isText(id) && isAmount(startedAt) && kinds.has(kind) && isAmount(heartbeat) && isAmount(ageMs)
		? {
			id: brandAs<EndpointId>(id), startedAt, kind: kind as DepartureKind, heartbeat, ageMs,
		}
		: undefined;

const encodeLimit = ({id, startedAt, perSecond, ageMs}: ToldLimit): Tuple => [id, startedAt, perSecond ?? null, Math.round(ageMs)];

const encodeLimitNews = ({limits, demands}: LimitNews): {readonly limits: readonly Tuple[]; readonly demands: readonly Tuple[]} => ({
	limits: limits.map(limit => encodeLimit(limit)),
	demands: demands.map(({service, perSecond}) => [service, perSecond]),
});

const decodeLimit = ([id, startedAt, perSecond, ageMs]: Tuple): ToldLimit | undefined =>
	isText(id) && isAmount(startedAt) && (perSecond === null || isAmount(perSecond)) && isAmount(ageMs)
		? {
			id: brandAs<EndpointId>(id), startedAt, perSecond: perSecond ?? undefined, ageMs,
		}
		: undefined;

const decodeDemand = ([service, perSecond]: Tuple): ServiceDemand | undefined => isText(service) && isAmount(perSecond) ? {service, perSecond} : undefined;

const encodeStreams = ({service, softwareVersion, ids}: StreamNews): Tuple => [service, softwareVersion, ids];

const decodeStreams = ([service, softwareVersion, ids]: Tuple): StreamNews | undefined =>
	isText(service) && typeof softwareVersion === 'string' && isListOf(ids, isText)
		? {service, softwareVersion: brandAs<SoftwareVersion>(softwareVersion), ids: ids.map(id => brandAs<RequestId>(id))}
		: undefined;

const roles = new Set<unknown>(['prefill', 'decode'] satisfies EndpointRole[]);
const phases = new Set<unknown>(['starting', 'ready', 'waiting', 'leaving'] satisfies EntryPhase[]);

const decodeRoleChange = ([endpoint, role]: Tuple): RoleChange | undefined =>
	isText(endpoint) && roles.has(role) ? {endpoint, role: role as EndpointRole} : undefined;

/** Entries without phases are ready whenever they send. */
const decodePhase = (value: unknown): SentPhase => {
	const [phase, stoppingMs] = isTuple(value) ? value : [];
	return phases.has(phase) && isAmount(stoppingMs) ? {phase: phase as EntryPhase, stoppingMs} : {phase: 'ready', stoppingMs: 0};
};

const roundAges = (news: SegmentNews): SegmentNews => ({
	crashes: news.crashes.map(crash => ({...crash, ageMs: Math.round(crash.ageMs), startedBeforeMs: Math.round(crash.startedBeforeMs)})),
	completed: news.completed.map(({segment, ageMs}) => ({segment, ageMs: Math.round(ageMs)})),
	quarantines: news.quarantines.map(quarantine => ({
		...quarantine, refutedAgeMs: Math.round(quarantine.refutedAgeMs), remainingMs: Math.round(quarantine.remainingMs),
	})),
});

const isSegmentNews = (value: unknown): value is SegmentNews => {
	const {crashes, completed, quarantines} = (value ?? {}) as Partial<SegmentNews>;
	return isTuple(crashes) && isTuple(completed) && isTuple(quarantines)
		&& crashes.every(crash => isText(crash?.endpoint) && isAmount(crash.ageMs) && Number.isFinite(crash.startedBeforeMs) && isTuple(crash.runs) && crash.runs.every(run => isListOf(run, isText)))
		&& completed.every(item => isText(item?.segment) && Number.isFinite(item.ageMs))
		&& quarantines.every(item => isText(item?.segment) && isListOf(item.companions, isText)
			&& Number.isFinite(item.remainingMs) && (item.refutedAgeMs === null || Number.isFinite(item.refutedAgeMs)));
};

const isUsageNotice = (value: unknown): value is UsageNotice => {
	const {owner, windows} = (value ?? {}) as Partial<UsageNotice>;
	return isText(owner) && isTuple(windows)
		&& windows.every(item => isTuple(item) && isAmount(item[0]) && isUsageCounts(item[1]));
};

export const hasSegmentNews = ({crashes, completed, quarantines}: SegmentNews): boolean => crashes.length + completed.length + quarantines.length > 0;

/** The text of a message. The fields keep the names that entries of earlier versions read. */
export const encodeMessage = ({
	from, configVersion, phase, roleChanges, load, crashes, departures, limitNews, accounts, segments, requests, streams, usage,
}: GossipMessage): string => JSON.stringify({
	from,
	config: configVersion,
	phase: [phase.phase, phase.stoppingMs],
	changing: roleChanges.map(({endpoint, role}) => [endpoint, role]),
	running: load.running.map(count => encodeRunning(count)),
	prefills: load.prefills?.map(pending => encodePrefills(pending)),
	sent: load.sent.map(work => encodeSent(work)),
	...load.speeds && load.speeds.length > 0 && {speeds: load.speeds.map(speed => encodeSpeed(speed))},
	...crashes.length > 0 && {crashes: crashes.map(report => encodeCrash(report))},
	...departures.length > 0 && {departures: departures.map(departure => encodeDeparture(departure))},
	...limitNews && limitNews.limits.length > 0 && encodeLimitNews(limitNews),
	...accounts && {accounts: encodeAccountNews(accounts)},
	...segments && hasSegmentNews(segments) && {segments: roundAges(segments)},
	...requests && countRequestNews(requests) > 0 && {requests: encodeRequestNews(requests)},
	...streams && streams.length > 0 && {streams: streams.map(news => encodeStreams(news))},
	...usage && {usage},
});

/** A damaged datagram counts as lost, like any message without its required fields. */
const parseFields = (text: string): Fields => {
	const value = parseJson(text);
	return isFields(value) ? value : {};
};

/** Decodes a datagram; undefined if it is no message. */
export const decodeMessage = (text: string): GossipMessage | undefined => {
	const {
		from, config, phase, changing, running, prefills, sent, speeds, crashes, departures, limits, demands, accounts, segments, requests, streams, usage,
	} = parseFields(text);
	if (!isText(from) || !isAmount(config) || !isTuple(changing) || !isTuple(running) || !isTuple(sent)) {
		return undefined;
	}

	const accountNews = decodeAccountNews(accounts);
	const requestNews = decodeRequestNews(requests);
	return {
		from,
		configVersion: config,
		phase: decodePhase(phase),
		roleChanges: decodeList(changing, tuple => decodeRoleChange(tuple)),
		load: {
			running: decodeList(running, tuple => decodeRunning(tuple)),
			...isTuple(prefills) && {prefills: decodeList(prefills, tuple => decodePrefills(tuple))},
			sent: decodeList(sent, tuple => decodeSent(tuple)),
			...isTuple(speeds) && {speeds: decodeList(speeds, tuple => decodeSpeed(tuple))},
		},
		crashes: decodeList(crashes, tuple => decodeCrash(tuple)),
		departures: decodeList(departures, tuple => decodeDeparture(tuple)),
		...isTuple(limits) && {limitNews: {limits: decodeList(limits, tuple => decodeLimit(tuple)), demands: decodeList(demands, tuple => decodeDemand(tuple))}},
		...accountNews && {accounts: accountNews},
		...isSegmentNews(segments) && {segments},
		...requestNews && {requests: requestNews},
		...isTuple(streams) && {streams: decodeList(streams, tuple => decodeStreams(tuple))},
		...isUsageNotice(usage) && {usage},
	};
};
