export {
	defaultTimings,
	type ApplyResult,
	type ChoiceRequest,
	type ChooseEndpoint,
	type ClaimResult,
	type Claims,
	type ConfigSource,
	type EndpointCandidate,
	type EntryDeps,
	type FreshnessCheck,
	type HostSource,
	type PeerServices,
	type Publisher,
	type Timings,
} from './deps.js';
export {startEntry, type Entry} from './start.js';
export {startEntryDaemon, type EntryDaemonDeps} from './start-daemon.js';
