/**
 * The transfer of the configuration from one entry to another, for entries that the store does not answer. The text is compressed, because entries may
 * have narrow links and a configuration may have thousands of routes. An entry serves few others at a time and tells the rest to ask elsewhere.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {promisify} from 'node:util';
import {constants, gunzip, gzip} from 'node:zlib';
import {Client} from 'undici';
import type {Address} from '../ports.js';
import {readAnswer} from '../utils/read-answer.js';
import {createProgressLimit, type ProgressLimits} from '../utils/time-limit.js';

const path = '/config';
const compression = 'gzip';
/** Together they leave most of a narrow link to callers. */
const maxTransfers = 3;
const busyRetrySeconds = 1;
/** Many times the size of a configuration with 10,000 routes; a damaged text must not fill the memory. */
const maxTextBytes = 64 * 1024 * 1024;
/** The round trip to a peer takes a few milliseconds, and a busy one is better left alone. */
const fetchLimits: ProgressLimits = {firstMs: 500, stallMs: 500, totalMs: 5000};

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Answers entries that ask for the configuration. */
export class ConfigServer {
	readonly #text: () => string;
	readonly #onSent: (bytes: number) => void;
	#compressed: {readonly text: string; readonly bytes: Promise<Buffer>} | undefined;
	#transfers = 0;

	/** `text`: the active configuration as the operator wrote it; empty before the first one. `onSent` is called with the size of each answer that has one. */
	constructor(text: () => string, onSent: (bytes: number) => void) {
		this.#text = text;
		this.#onSent = onSent;
	}

	async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const text = this.#text();
		if (text === '' || this.#transfers >= maxTransfers) {
			res.writeHead(503, {'retry-after': String(busyRetrySeconds)});
			res.end();
			return;
		}

		this.#transfers += 1;
		res.once('close', () => {
			this.#transfers -= 1;
		});
		// Entries of earlier versions do not ask for a compressed text.
		if (req.headers['accept-encoding'] !== compression) {
			this.#onSent(text.length);
			res.end(text);
			return;
		}

		const bytes = await this.#compress(text);
		res.writeHead(200, {'content-encoding': compression, 'content-length': bytes.length});
		this.#onSent(bytes.length);
		res.end(bytes);
	}

	/** Compresses each version once, when it is first asked for. */
	async #compress(text: string): Promise<Buffer> {
		if (this.#compressed?.text !== text) {
			this.#compressed = {text, bytes: compress(text, {level: constants.Z_BEST_SPEED})};
		}

		return this.#compressed.bytes;
	}
}

/** The text of a peer's configuration, and the bytes that its transfer took. */
export type FetchedConfig = {readonly text: string; readonly bytes: number};

/** Fetches the configuration of a peer. */
export const fetchConfig = async ({address, port}: Address): Promise<FetchedConfig> => {
	const client = new Client(`http://${address}:${port}`, {connect: {timeout: fetchLimits.firstMs}});
	const limit = createProgressLimit(fetchLimits);
	try {
		const {statusCode, headers, body} = await client.request({
			method: 'GET', path, headers: {'accept-encoding': compression}, signal: limit.signal,
		});
		limit.recordProgress();
		if (statusCode !== 200) {
			throw new Error(`status ${statusCode}`);
		}

		const bytes = await readAnswer(body, limit);
		const isCompressed = headers['content-encoding'] === compression;
		return {text: String(isCompressed ? await decompress(bytes, {maxOutputLength: maxTextBytes}) : bytes), bytes: bytes.length};
	} finally {
		limit.clear();
		await client.destroy();
	}
};
