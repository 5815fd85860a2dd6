/**
 * Starts a platform stand-in for one test, with an HTTP client and a table client connected to it.
 */
import {startPlatform, type PlatformOptions, type PlatformStandIn} from '@hawthorncleat/stand-ins';
import {
	createHttpClient, createTableClient, type HttpClient, type Table,
} from '../index.js';

export type Fixture = {
	readonly platform: PlatformStandIn;
	readonly http: HttpClient;
	readonly table: Table;
	readonly signal: AbortSignal;
};

export const withPlatform = async (body: (fixture: Fixture) => Promise<void>, options: PlatformOptions = {}, timeoutMs = 1000): Promise<void> => {
	const controller = new AbortController();
	const {signal} = controller;
	const platform = await startPlatform(options, signal);
	const http = createHttpClient({url: platform.url, timeoutMs}, signal);
	try {
		await body({
			platform, http, table: createTableClient(http), signal,
		});
	} finally {
		controller.abort();
		await platform.closed;
	}
};
