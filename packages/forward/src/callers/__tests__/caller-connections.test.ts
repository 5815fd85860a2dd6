import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CallerConnections, type CloseReason} from '../caller-connections.js';
import {CallerExchange} from '../caller-exchange.js';

const head = 'GET /x HTTP/1.1\r\nhost: h.example\r\n\r\n';

type Fixture = {
	readonly connections: CallerConnections;
	readonly closeReasons: CloseReason[];
	/** Exchanges in the order of their requests. */
	readonly exchanges: CallerExchange[];
	readonly answers: ServerResponse[];
	/** Called when the entry closes a connection. */
	onClose?: () => void;
	/** Opens a connection and writes these bytes. Resolves when the server has read them. */
	openWith(bytes: string): Promise<Socket>;
};

const withServer = async (body: (fixture: Fixture) => Promise<void>, maxOpen?: number): Promise<void> => {
	let fixture: Fixture | undefined;
	const closeReasons: CloseReason[] = [];
	const connections = new CallerConnections(reason => {
		closeReasons.push(reason);
		fixture?.onClose?.();
	}, undefined, maxOpen);
	const exchanges: CallerExchange[] = [];
	const answers: ServerResponse[] = [];
	const accepted: Socket[] = [];
	const server = createServer((req, res) => {
		connections.recordRequest(req, res);
		exchanges.push(new CallerExchange(res, {
			clock: {nowMs: () => 0}, stopLimit: new AbortController().signal, isStopping: () => false, hasLaterRequest: () => false,
		}));
		answers.push(res);
	});
	connections.track(server);
	server.on('connection', socket => {
		accepted.push(socket);
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	try {
		fixture = {
			connections,
			closeReasons,
			exchanges,
			answers,
			async openWith(bytes) {
				const index = accepted.length;
				const socket = connect(port, loopback);
				socket.on('error', () => undefined);
				socket.resume();
				socket.write(bytes);
				await waitUntil(() => (accepted[index]?.bytesRead ?? -1) >= bytes.length, {what: 'the bytes'});
				return socket;
			},
		};
		await body(fixture);
	} finally {
		server.close();
		server.closeAllConnections();
	}
};

describe('the end of a connection of a caller', () => {
	it('counts as the caller\'s if the caller closes it; guards against closes that are taken for those of the entry', async () => withServer(async ({openWith, exchanges, closeReasons}) => {
		const ended = await openWith(head);
		const reset = await openWith(head);
		ended.end();
		reset.resetAndDestroy();
		await waitUntil(() => exchanges.every(({endReason}) => endReason !== undefined), {what: 'the ends'});
		assert.equal(exchanges.map(({endReason}) => endReason), ['caller-left', 'caller-left']);
		assert.equal(closeReasons, []);
	}));

	it('counts as the entry\'s if the entry closes it; guards against cut requests that are logged as left by their callers', async () => withServer(async ({openWith, exchanges, connections}) => {
		await openWith(head);
		connections.closeAll();
		await waitUntil(() => exchanges[0]!.endReason !== undefined, {what: 'the end'});
		assert.is(exchanges[0]!.endReason, 'entry-closed');
		assert.equal(connections.counts.closed, {'stop-running': 1});
	}));

	// Guards against a stop that closes many idle connections at once while requests arrive on the last ones.
	it('does not come while a request that has arrived is unread; guards against a request closed unread because another close took time', async () => withServer(async fixture => {
		const {openWith, answers, connections, closeReasons} = fixture;
		const sockets = [await openWith(head), await openWith(head)];
		await waitUntil(() => answers.length === 2, {what: 'the requests'});
		for (const res of answers) {
			res.end('x');
		}

		await waitUntil(() => connections.running === 0, {what: 'the answers'});
		fixture.onClose = () => {
			sockets[1]!.write(head);
		};

		await connections.closeIdle(() => true);
		assert.is(connections.counts.running, 1);
		assert.equal(closeReasons, ['stop-idle']);
	}));

	it('is counted by what was read on it; guards against a stop that hides a request that was read', async () => withServer(async ({openWith, answers, connections, closeReasons}) => {
		const idle = await openWith(head);
		answers[0]!.end('x');
		await once(idle, 'data');
		await openWith('');
		await openWith(head.slice(0, 20));
		await openWith(head);
		await waitUntil(() => connections.counts.connections === 4 && connections.counts.running === 1, {what: 'the requests'});
		const {unused, receiving, running} = connections.counts;
		assert.equal({unused, receiving, running}, {unused: 1, receiving: 1, running: 1});
		await connections.closeIdle(() => true);
		assert.equal(closeReasons, ['stop-idle']);
		connections.closeAll();
		assert.equal(closeReasons.toSorted(), ['stop-idle', 'stop-receiving', 'stop-running', 'stop-unused']);
	}));
});

const chunkedHead = 'POST /x HTTP/1.1\r\nhost: h.example\r\ntransfer-encoding: chunked\r\n\r\n';

describe('limits for connections', () => {
	it('leave an idle connection open whose refused body arrived late; guards against a close before the announced limit', async () => withServer(async fixture => {
		const {openWith, answers, exchanges, connections} = fixture;
		const socket = await openWith(chunkedHead);
		await waitUntil(() => answers.length === 1, {what: 'the request'});
		const [answer] = answers;
		answer!.req.resume();
		exchanges[0]!.send(429, {}, '');
		await waitUntil(() => answer!.closed, {what: 'the end of the answer'});
		socket.write('1\r\nb\r\n0\r\n\r\n');
		await waitUntil(() => answer!.req.complete, {what: 'the rest of the body'});
		await connections.closeLate({headMs: -1, unusedMs: 60_000});
		await connections.closeLate({headMs: -1, unusedMs: 60_000});
		assert.not(answer!.req.socket.destroyed);
	}));

	it('close one whose body does not end for a further caller; guards against a crowd that keeps all others out', async () => withServer(async ({openWith, answers, closeReasons}) => {
		await openWith(chunkedHead);
		await openWith(chunkedHead);
		await waitUntil(() => answers.length === 2, {what: 'two requests'});
		await openWith(head);
		await waitUntil(() => answers.length === 3, {what: 'the request of the further caller'});
		assert.equal(closeReasons, ['connection-limit']);
	}, 2));
});
