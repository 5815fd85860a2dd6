import {
	brandAs, RateShares, RouteTable, type ConfigVersion, type ForwardAccount,
} from '@hawthorncleat/core';
import {
	createManualClock, describe, it, type ManualClock,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {CallerRequest} from '../../ports.js';
import {ForwardMetrics} from '../../telemetry/metrics.js';
import {AccountLimits, settleCharge, type AccountAdmission} from '../account-limits.js';

const limitMs = 9000;

type Fixture = {
	readonly clock: ManualClock;
	readonly limits: AccountLimits;
	readonly lines: Array<Readonly<Record<string, unknown>>>;
	/** Sets the configuration with this one account. */
	setAccount(account: Record<string, unknown>): void;
	admit(request?: Partial<CallerRequest>): AccountAdmission;
};

const createFixture = (): Fixture => {
	const clock = createManualClock(100_000);
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	let routes: RouteTable | undefined;
	let version = 0;
	const limits = new AccountLimits({
		clock,
		random: () => 0.5,
		shares: new RateShares({clock, entries: () => 1}),
		fleet: () => ({entries: 1, inTouch: 1}),
		routes: () => routes,
		log: {
			write(_event, fields) {
				lines.push(fields);
			},
		},
		metrics: new ForwardMetrics(),
	});
	return {
		clock,
		limits,
		lines,
		setAccount(account) {
			version += 1;
			routes = new RouteTable({
				version: brandAs<ConfigVersion>(version), routes: [], services: [], accounts: [{name: 'acme', keys: ['k'], ...account} as unknown as ForwardAccount],
				limits: {
					maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
				},
			});
			limits.newsToSend('local');
		},
		admit: request => limits.admit(routes!.config.accounts[0]!, {
			hasTokenCount: true, promptTokens: 90, maxOutputTokens: 10, ...request,
		} as CallerRequest, limitMs),
	};
};

const tokenLimit = {
	unit: 'tokens', perSecond: 1000, burst: 1000, tokensWithoutCount: 500,
};

/** Number of requests that are admitted one after the other, up to a hundred. */
const countAdmitted = ({admit}: Fixture, request?: Partial<CallerRequest>): number => {
	let admitted = 0;
	while (admitted < 100 && 'charge' in admit(request)) {
		admitted += 1;
	}

	return admitted;
};

const createFilled = (): Fixture => {
	const fixture = createFixture();
	fixture.setAccount({limit: tokenLimit});
	fixture.clock.advance(5000);
	return fixture;
};

const near = (actual: number, expected: number): void => {
	assert.ok(Math.abs(actual - expected) <= 1, `${actual} in place of ${expected}`);
};

describe('limits of client accounts', () => {
	it('charge prompt and most output tokens, or the set amount without a count; guards against large requests that cost as much as small ones', () => {
		near(countAdmitted(createFilled()), 10);
		near(countAdmitted(createFilled(), {hasTokenCount: false}), 2);
	});

	it('leave accounts without a limit alone', () => {
		const fixture = createFixture();
		fixture.setAccount({});
		assert.is(countAdmitted(fixture), 100);
		assert.is(fixture.limits.newsToSend('local'), undefined);
	});

	it('get back the charge of a request that has not run, and charge one that ran again once more', () => {
		const fixture = createFilled();
		const admission = fixture.admit({promptTokens: 890});
		assert.ok('charge' in admission);
		settleCharge(admission.charge, {
			status: 503, code: 'x', ran: 'not-run', attempts: 0,
		});
		near(countAdmitted(fixture), 10);
		const other = createFilled();
		const repeated = other.admit({promptTokens: 390});
		assert.ok('charge' in repeated);
		settleCharge(repeated.charge, {
			status: 200, code: 'answered', ran: 'ran', attempts: 2, furtherRuns: 1,
		});
		near(countAdmitted(other), 2);
	});

	it('send those refused back one after the other within a third of their time; guards against callers that all come back for one place', () => {
		const fixture = createFilled();
		countAdmitted(fixture);
		const delays = Array.from({length: 200}, () => fixture.admit()).flatMap(admission => 'retryAfterMs' in admission ? [admission.retryAfterMs] : []);
		assert.ok(delays.length >= 199);
		assert.ok(delays.every(delayMs => delayMs > 0 && delayMs <= limitMs / 3));
		assert.ok(new Set(delays.slice(0, 20).map(delayMs => Math.round(delayMs))).size >= 19);
	});

	it('write one line a second an account about refusals; guards against a log that is flooded', () => {
		const fixture = createFilled();
		countAdmitted(fixture);
		for (let request = 0; request < 50; request += 1) {
			fixture.admit();
		}

		assert.is(fixture.lines.length, 1);
		assert.is(fixture.lines[0]!.account, 'acme');
	});

	it('keep the last one that could be read, with one line; guards against an account that is unlimited by a typing error', () => {
		const fixture = createFilled();
		fixture.setAccount({invalidLimit: '{"ratePerS":-1}'});
		near(countAdmitted(fixture), 10);
		assert.is(fixture.lines.filter(({what}) => what === 'reading the limit of an account').length, 1);
	});

	it('cut the bucket at once when lowered, and end when taken away', () => {
		const fixture = createFilled();
		fixture.setAccount({limit: {...tokenLimit, perSecond: 200, burst: 200}});
		near(countAdmitted(fixture), 2);
		fixture.setAccount({});
		assert.is(countAdmitted(fixture), 100);
	});

	it('charge what peers tell once, whatever is lost or repeated', () => {
		const fixture = createFilled();
		const tell = (spent: number): void => {
			fixture.limits.applyNews('e2', {incarnation: 1, accounts: [{account: 'acme', spent, perSecond: 400}]});
		};

		tell(0);
		tell(300);
		tell(300);
		tell(600);
		near(countAdmitted(fixture), 4);
	});
});
