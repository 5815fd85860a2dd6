export {
	dial, listen, type DialOptions, type Listener, type ListenOptions,
} from './connect.js';
export {LineReader, LineTooLongError, maxLineBytes} from './line-reader.js';
export {
	paramsValidators, type CallName, type Calls, type Handlers, type NotificationName, type Notifications,
} from './messages.js';
export {
	heartbeatIntervalMs,
	Peer,
	stallLimitMs,
	type CallOptions,
	type CloseReason,
	type PeerOptions,
} from './peer.js';
