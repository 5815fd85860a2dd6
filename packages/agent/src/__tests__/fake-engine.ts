/**
 * A small engine for the tests of the agent.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {EngineState, GenerateParams} from '@hawthorncleat/schema';

type Generate = (params: GenerateParams, res: ServerResponse) => void;

const readJson = async (req: IncomingMessage): Promise<unknown> => {
	let text = '';
	for await (const chunk of req) {
		text += String(chunk);
	}

	return text === '' ? undefined : JSON.parse(text);
};

/** Writes one token. */
export const writeToken = (res: ServerResponse, position: number): void => {
	res.write(`${JSON.stringify({position, token: `t${position}`})}\n`);
};

/** Ends an answer after so many tokens in all. */
export const writeEnd = (res: ServerResponse, outputTokens: number): void => {
	const end = {
		reason: 'stop', promptTokens: 2, cachedTokens: 0, outputTokens,
	};
	res.end(`${JSON.stringify({end})}\n`);
};

/** An engine that speaks the interface of section 7 and answers as the test says. */
export class FakeEngine {
	readonly started: GenerateParams[] = [];
	readonly cancelled: string[] = [];
	readonly orders: unknown[] = [];
	readonly open = new Map<string, ServerResponse>();
	running = 0;
	maxRunning = 0;
	requests = 0;
	/** Questions for its state get no answer. */
	isSilent = false;
	state: EngineState = {
		role: 'mixed', changing: false, lastOrder: 0, running: 0, waiting: 0, kvFreeTokens: 1000,
	};

	#server: Server | undefined;
	#port = 0;

	generate: Generate = ({delivered, maxTokens}, res) => {
		for (let position = delivered.length; position < maxTokens; position += 1) {
			writeToken(res, position);
		}

		writeEnd(res, maxTokens);
	};

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	async start(): Promise<void> {
		this.#server = createServer((req, res) => {
			void this.#answer(req, res);
		});
		this.#server.listen(this.#port, '127.0.0.1');
		await once(this.#server, 'listening');
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	/** Ends like a killed process. */
	crash(): void {
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.requests += 1;
		const body = await readJson(req);
		switch (req.url ?? '') {
			case '/generate': {
				this.#begin(body as GenerateParams, res);

				break;
			}

			case '/cancel': {
				this.cancelled.push((body as {requestId: string}).requestId);
				res.end('{}');

				break;
			}

			case '/orders': {
				this.orders.push(body);
				this.state = {...this.state, role: (body as EngineState).role, changing: true};
				res.end('{}');

				break;
			}

			default: {
				if (!this.isSilent) {
					res.end(JSON.stringify(this.state));
				}
			}
		}
	}

	#begin(params: GenerateParams, res: ServerResponse): void {
		this.started.push(params);
		this.running += 1;
		this.maxRunning = Math.max(this.maxRunning, this.running);
		res.on('close', () => {
			this.running -= 1;
		});
		this.open.set(params.requestId, res);
		this.generate(params, res);
	}
}
