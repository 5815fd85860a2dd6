/**
 * A TCP proxy on loopback. It can let the open channels go silent for good, without a reset, while new ones work.
 */
import {connect, createServer} from 'node:net';
import {once} from 'node:events';
import {loopback} from './ports.mjs';

export class Proxy {
	port = 0;
	#targetPort;
	#pairs = new Set();
	#server;

	constructor(targetPort) {
		this.#targetPort = targetPort;
	}

	async listen() {
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#forward(socket);
		});
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
		this.port = this.#server.address().port;
	}

	/** From now on nothing passes on the channels that are open. Returns their number. */
	silenceOpen() {
		for (const pair of this.#pairs) {
			for (const socket of pair) {
				socket.removeAllListeners('data');
				socket.removeAllListeners('end');
				socket.removeAllListeners('close');
				socket.on('data', () => undefined);
				socket.on('end', () => undefined);
			}
		}

		return this.#pairs.size;
	}

	close() {
		for (const socket of [...this.#pairs].flat()) {
			socket.destroy();
		}

		this.#server.close();
	}

	#forward(near) {
		const far = connect({port: this.#targetPort, host: loopback, allowHalfOpen: true});
		const pair = [near, far];
		this.#pairs.add(pair);
		for (const [from, to] of [[near, far], [far, near]]) {
			from.on('data', chunk => to.write(chunk));
			from.on('end', () => to.end());
			from.on('error', () => to.destroy());
			from.on('close', () => {
				to.destroy();
				this.#pairs.delete(pair);
			});
		}
	}
}
