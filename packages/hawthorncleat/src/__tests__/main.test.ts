import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {
	checkChange, createConfigView, emptySnapshot, hashKey, environmentVariableOf,
} from '@hawthorncleat/core';
import type {Snapshot} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {CommandContext} from '../context.js';
import type {StartStandIn} from '../daemons/stand-ins.js';
import type {StartDaemon} from '../daemons/start.js';
import {createExampleConfig} from '../examples/example-config.js';
import {main} from '../main.js';

const missing = async (): Promise<never> => {
	throw new Error('not part of this test');
};

const createContext = (overrides: Partial<CommandContext> = {}) => {
	const printed: string[] = [];
	const errors: string[] = [];
	const context: CommandContext = {
		env: {},
		print(line) {
			printed.push(line);
		},
		printError(line) {
			errors.push(line);
		},
		readText: missing,
		makeKey: () => 'hck_test',
		onStopSignal() {
			// No signal arrives.
		},
		exitNow() {
			// Tests stay alive.
		},
		start: {entry: missing, agent: missing, standIns: {startPlatform: missing, startEngine: missing, startPlainService: missing}},
		...overrides,
	};
	return {context, printed, errors};
};

type Reply = {readonly status: number; readonly body: unknown};

/** Runs a command against an admin API with fixed answers and returns what it was sent. */
const runAgainst = async (replies: Record<string, Reply>, args: readonly string[], files: Record<string, string> = {}) => {
	const bodies: unknown[] = [];
	const server: Server = createServer((req, res) => {
		let text = '';
		req.on('data', (chunk: Uint8Array) => {
			text += String(chunk);
		});
		req.on('end', () => {
			bodies.push(text === '' ? undefined : JSON.parse(text));
			const {status, body} = replies[`${req.method} ${req.url}`] ?? {status: 404, body: {}};
			res.writeHead(status).end(JSON.stringify(body));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const env = {[environmentVariableOf('admin-url')]: `http://127.0.0.1:${port}`, [environmentVariableOf('admin-token')]: 'token'};
	const run = createContext({env, readText: async path => files[path]!});
	const code = await main(args, run.context);
	server.close();
	server.closeAllConnections();
	return {...run, code, bodies};
};

const snapshot: Snapshot = {version: 4, objects: [{kind: 'client-account', name: 'desk'}]};
const apply = 'POST /admin/config/apply';
const config = {'GET /admin/config': {status: 200, body: snapshot}};

describe('command line', () => {
	it('ends with 2 for wrong usage and missing settings; guards against daemons that start half-configured', async () => {
		for (const args of [[], ['bogus'], ['apply'], ['get', 'toaster'], ['status'], ['entry'], ['agent', '--slot-port', 'x']]) {
			const {context, errors} = createContext();
			assert.is(await main(args, context), 2, args.join(' '));
			assert.ok(errors.length > 0);
		}
	});

	it('shows an example in the help of each command; guards against undocumented commands', async () => {
		const commands = ['entry', 'agent', 'dev', 'validate', 'apply', 'diff', 'get', 'key', 'key issue', 'key withdraw', 'drain', 'status', 'version'];
		for (const command of commands) {
			const {context, printed} = createContext();
			assert.is(await main([...command.split(' '), '--help'], context), 0);
			assert.match(printed.join('\n'), `hawthorncleat ${command.split(' ', 1)[0]}`);
			assert.match(printed.join('\n'), 'Examples:');
		}
	});

	it('gives file, line and column of each finding; guards against findings without a place', async () => {
		const files = {
			'c.yaml': 'put:\n  - kind: service\n    name: desk\n    places:\n      - nowhere\n  - kind: key\n    name: k\n',
			'b.json': JSON.stringify(snapshot),
		};
		const {code, errors} = await runAgainst({}, ['validate', 'c.yaml', '--base', 'b.json'], files);
		assert.is(code, 3);
		assert.ok(errors.some(line => line.startsWith('c.yaml:5:9: service desk places/0 "nowhere": no place')), errors.join('\n'));
		assert.ok(errors.some(line => line.startsWith('c.yaml:6:5: key k') && line.includes('account')));
		const broken = await runAgainst({}, ['apply', 'c.yaml'], {'c.yaml': 'put: [\n  }'});
		assert.is(broken.code, 3);
		assert.match(broken.errors[0] ?? '', /^c\.yaml:2:3: /);
	});

	it('maps answers of the entry to exit codes; guards against scripts that take a conflict for success', async () => {
		const files = {'c.json': '{"put": []}'};
		const conflict = {conflicts: [{kind: 'route', name: 'stock'}], version: 9};
		const cases: Array<[Reply, number]> = [
			[{status: 200, body: {version: 5, confirmed: true}}, 0],
			[{status: 200, body: {version: 5, confirmed: false}}, 1],
			[{status: 422, body: {findings: []}}, 3],
			[{status: 409, body: conflict}, 4],
			[{status: 503, body: {error: {message: 'witnesses-unavailable'}}}, 1],
		];
		for (const [reply, expected] of cases) {
			const {code} = await runAgainst({[apply]: reply}, ['apply', 'c.json'], files);
			assert.is(code, expected);
		}

		const {context} = createContext();
		assert.is(await main(['status', '--admin-url', 'http://127.0.0.1:1', '--admin-token', 't'], context), 5);
	});

	it('prints a new key once and sends only its hash; guards against stored keys', async () => {
		const replies = {...config, [apply]: {status: 200, body: {version: 5, confirmed: true}}};
		const {code, printed, bodies} = await runAgainst(replies, ['key', 'issue', 'k', '--account', 'desk']);
		assert.is(code, 0);
		assert.equal(printed, ['hck_test']);
		const key = {
			kind: 'key', name: 'k', account: 'desk', hash: hashKey('hck_test'), state: 'active',
		};
		assert.equal(bodies.at(-1), {baseVersion: 4, put: [key]});
	});

	it('ships a valid example configuration; guards against npm start failing on its own example', () => {
		assert.ok(checkChange(createConfigView(emptySnapshot), createExampleConfig(hashKey('x'))).ok);
	});
});

describe('daemon commands', () => {
	const flags = ['--data-centre', 'd', '--region', 'r', '--platform-url', 'http://127.0.0.1:1', '--admin-token', 'long-enough'];

	it('drain at the first stop signal and end at the second; guards against cut-off requests (I13)', async () => {
		const events: string[] = [];
		let signalStop = (): void => undefined;
		const entry: StartDaemon<unknown> = async (_, _deps, signal) => ({
			closed: new Promise(resolve => {
				signal.addEventListener('abort', () => {
					events.push('closed');
					resolve();
				});
			}),
			async drain() {
				signalStop();
				events.push('drained');
			},
		});
		const {context} = createContext({
			onStopSignal(listener) {
				signalStop = listener;
				setImmediate(listener);
			},
			exitNow(code) {
				events.push(`exit ${code}`);
			},
		});
		const code = await main(['entry', ...flags], {...context, start: {...context.start, entry}});
		assert.is(code, 0);
		assert.equal(events, ['exit 1', 'drained', 'closed']);
	});

	it('dev passes on the failure of a part; guards against a process that hangs half started', async () => {
		const startPlatform: StartStandIn = async () => {
			throw new Error('port in use');
		};

		const {context} = createContext();
		const start = {...context.start, standIns: {...context.start.standIns, startPlatform}};
		const message = await main(['dev'], {...context, start}).catch((error: unknown) => (error as Error).message);
		assert.is(message, 'port in use');
	});
});
