/**
 * The operators' part of the admin API: status, configuration and drain.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isRequestError} from '@hawthorncleat/core';
import type {AdminOptions} from '@hawthorncleat/telemetry';
import {
	sendError, sendJson, watchCaller,
} from './caller-connection.js';
import {bearerKey} from './caller-headers.js';
import {retryAfterSeconds} from './caller-errors.js';
import type {ApplyResult, ConfigSource, Publisher} from './deps.js';
import {parseJsonObject, readBody} from './request-body.js';

/** A change file may replace every object of a large configuration. */
const maxChangeBytes = 16 * 1024 * 1024;
const changeTimeoutMs = 30_000;

export type AdminDeps = {
	readonly adminToken: string;
	readonly config: ConfigSource;
	readonly publisher: Publisher;
	readonly status: () => unknown;
	readonly startDrain: () => void;
};

type AdminHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;
type AddRoutes = NonNullable<AdminOptions['addRoutes']>;

const digest = (text: string): Uint8Array => createHash('sha256').update(text).digest();

const hasToken = (req: IncomingMessage, token: string): boolean => {
	const given = bearerKey(req.headers.authorization);
	// Digests have one length, which the comparison in constant time needs.
	return given !== undefined && timingSafeEqual(digest(given), digest(token));
};

const readChange = async (req: IncomingMessage): Promise<Record<string, unknown>> =>
	parseJsonObject(await readBody(req, {maxBodyBytes: maxChangeBytes, bodyTimeoutMs: changeTimeoutMs}));

const sendApplyResult = (res: ServerResponse, result: ApplyResult): void => {
	switch (result.kind) {
		case 'published': {
			sendJson(res, 200, {version: result.version, confirmed: result.confirmed});
			return;
		}

		case 'invalid': {
			sendJson(res, 422, {findings: result.findings});
			return;
		}

		case 'conflict': {
			sendJson(res, 409, {conflicts: result.conflicts, version: result.version});
			return;
		}

		case 'unavailable': {
			const {code, retryAfterMs} = result;
			const error = {code, message: 'the change could not be published', retryAfterMs};
			sendJson(res, 503, {error}, {'retry-after': retryAfterSeconds(retryAfterMs)});
		}
	}
};

const guard = (token: string, handler: AdminHandler) => async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
	if (!hasToken(req, token)) {
		const error = {code: 'token-invalid', message: 'send the admin token as "Authorization: Bearer <token>"'};
		sendJson(res, 401, {error}, {'www-authenticate': 'Bearer'});
		return;
	}

	try {
		await handler(req, res);
	} catch (error) {
		if (isRequestError(error)) {
			// Codes of the publication, such as `witnesses-unavailable`, go to the operator as they are.
			sendError(watchCaller(req, res), error);
			return;
		}

		sendJson(res, 500, {error: {code: 'internal', message: 'the admin request failed'}});
	}
};

/** Creates the operators' routes; each needs the admin token. */
export const createAdminRoutes = (deps: AdminDeps): AddRoutes => router => {
	const on = (method: 'GET' | 'POST', path: string, handler: AdminHandler): void => {
		const guarded = guard(deps.adminToken, handler);
		router.on(method, path, (req, res) => {
			void guarded(req as IncomingMessage, res as ServerResponse);
		});
	};

	on('GET', '/admin/status', (_req, res) => {
		sendJson(res, 200, deps.status());
	});
	on('GET', '/admin/config', (_req, res) => {
		sendJson(res, 200, deps.config.current().snapshot);
	});
	on('POST', '/admin/config/validate', async (req, res) => {
		const findings = await deps.publisher.validate(await readChange(req));
		sendJson(res, findings.length === 0 ? 200 : 422, {findings});
	});
	on('POST', '/admin/config/apply', async (req, res) => {
		sendApplyResult(res, await deps.publisher.apply(await readChange(req)));
	});
	on('POST', '/admin/drain', (_req, res) => {
		deps.startDrain();
		sendJson(res, 202, {draining: true});
	});
};
