/**
 * A client with one kept channel: it sends its requests one after the other and reports for each how it ended.
 */
import {Agent, request} from 'node:http';
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {loopback} from './ports.mjs';

const deadlineMs = 1000;

export const hostname = 'desk.example';

export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: 1});
	#recorder;
	#port;

	constructor(port, recorder) {
		this.#port = port;
		this.#recorder = recorder;
	}

	/** Sends a hold; resolves to its id, when it was sent, whether on a kept channel, and its answer, or the error with which the channel ended. */
	async send({path, key}) {
		const id = randomBytes(8).toString('hex');
		const sent = {id, sentMs: this.#recorder.nowMs, isKept: false};
		this.#recorder.note('sent', {id, path, key});
		const end = await this.#exchange({id, path, key}, sent);
		this.#recorder.note('answered', {
			id, status: end.status, error: end.error, isKept: sent.isKept,
		});
		return {...sent, ...end};
	}

	close() {
		this.#agent.destroy();
	}

	async #exchange({id, path, key}, sent) {
		const body = 'pallet 7';
		const headers = {
			host: hostname, 'request-id': id, 'deadline-ms': String(deadlineMs), credential: key, 'content-length': Buffer.byteLength(body),
		};
		return new Promise(resolve => {
			const fail = error => {
				resolve({error: error.code ?? error.message});
			};

			const req = request({
				host: loopback, port: this.#port, method: 'POST', path, agent: this.#agent, headers,
			}, res => {
				res.resume();
				res.on('end', () => {
					resolve({status: res.statusCode, seal: res.headers['response-seal']});
				});
				res.on('error', fail);
			});
			req.on('error', fail);
			req.on('socket', () => {
				sent.isKept = req.reusedSocket;
			});
			req.end(body);
		});
	}
}
