/** Stand-in for a client: one request, on a connection of its own unless an agent keeps one, and its answer. */
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Resolves to the answer; status 0 if the connection ended without one. `isWhole`: the answer is complete. */
export const callOnce = async (port, {id, method = 'POST', path, body = '', key = 'k-acme', deadlineMs = 2000, headers = {}, leaveAfterMs, agent = false}) => new Promise(resolve => {
	const sentMs = Math.round(performance.now());
	let isDone = false;
	const finish = answer => {
		if (!isDone) {
			isDone = true;
			clearTimeout(timer);
			resolve({
				id, port, sentMs, endedMs: Math.round(performance.now()), status: 0, text: '', isWhole: false, ...answer,
			});
		}
	};

	const req = request({
		host: '127.0.0.1', port, method, path, agent, headers: {
			host: 'shop.example', 'request-id': id, credential: key, 'deadline-ms': String(deadlineMs), 'content-length': body.length, ...agent === false && {connection: 'close'}, ...headers,
		},
	}, res => {
		let text = '';
		res.on('data', chunk => {
			text += String(chunk);
		});
		res.on('error', () => undefined);
		res.on('close', () => {
			finish({
				status: res.statusCode, headers: res.headers, text, isWhole: res.complete,
			});
		});
	});
	const timer = setTimeout(() => {
		req.destroy();
		finish({hasLeft: true});
	}, leaveAfterMs ?? deadlineMs + 1000);
	req.on('error', error => {
		finish({error: error.code ?? error.message});
	});
	req.end(body);
});
