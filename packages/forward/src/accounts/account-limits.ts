/**
 * Limits of client accounts, kept by all entries together: each request is charged to its account before its body is read, or refused, and what the entries
 * have spent of each limit is told among them.
 */
import {
	AccountLimit, type Clock, type FleetPart, type ForwardAccount, type ForwardAccountLimit, type Random, type RateShares, type RouteTable,
} from '@hawthorncleat/core';
import type {CallerRequest} from '../ports.js';
import type {Outcome} from '../requests/outcome.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import {LimitedAccount} from './limited-account.js';
import type {AccountNews} from './account-news.js';

/** Accounts that leave room for the load in a datagram. The others follow with the next messages. */
const maxPerMessage = 12;
/** After this time in touch, entries know enough of each other for a limit that begins to begin with its burst. */
const settledMs = 10_000;
/** Callers come back at the latest after this part of their time. */
const maxRetryFraction = 1 / 3;
/** The state of the fleet is the same for the requests of a moment. */
const fleetCacheMs = 20;

/** What a request has taken from the limit of its account. */
export type AccountCharge = {
	/** Gives the charge back, because the request has not run. */
	giveBack(): void;
	/** Charges further runs of the request. */
	addRuns(runs: number): void;
};

export type AccountAdmission = {readonly charge: AccountCharge} | {readonly retryAfterMs: number};

export type AccountLimitsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly shares: RateShares;
	readonly fleet: () => FleetPart;
	readonly routes: () => RouteTable | undefined;
	readonly log: Pick<DecisionLog, 'write'>;
	readonly metrics: Pick<ForwardMetrics, 'countAccountRequest' | 'setLimitedAccounts'>;
};

const free: AccountCharge = {
	giveBack() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	addRuns() {}, // eslint-disable-line @typescript-eslint/no-empty-function
};

/** Range of the number that tells one process of an entry from the next. */
const incarnations = 2 ** 31;

export class AccountLimits {
	readonly #options: AccountLimitsOptions;
	readonly #incarnation: number;
	readonly #startedMs: number;
	readonly #accounts = new Map<string, LimitedAccount>();
	#routes: RouteTable | undefined;
	#fleet: {readonly atMs: number; readonly part: FleetPart} | undefined;

	constructor(options: AccountLimitsOptions) {
		this.#options = options;
		this.#incarnation = Math.floor(options.random() * incarnations);
		this.#startedMs = options.clock.nowMs();
	}

	/** Charges a request to its account, or refuses it. `limitMs` is the time that its caller waits. */
	admit(account: ForwardAccount, request: CallerRequest, limitMs: number): AccountAdmission {
		this.#applyConfig();
		const limited = this.#accounts.get(account.name);
		if (!limited?.settings) {
			return {charge: free};
		}

		const {clock, shares} = this.#options;
		const nowMs = clock.nowMs();
		const cost = limited.costOf(request);
		limited.recordRequest(nowMs);
		shares.recordRequest(account.name, cost);
		return limited.limit.tryTake(cost, nowMs) ? {charge: this.#createCharge(limited, cost)} : this.#refuse(account, limited, {cost, limitMs, nowMs});
	}

	/** What peers are to be told; undefined if there is nothing. */
	newsToSend(receivers: string): AccountNews | undefined {
		this.#applyConfig();
		const nowMs = this.#options.clock.nowMs();
		const due = [...this.#accounts].filter(([, limited]) => limited.isDue(receivers, nowMs));
		const order = due.toSorted(([, a], [, b]) => b.untold(receivers) - a.untold(receivers) || a.toldMs(receivers) - b.toldMs(receivers));
		const accounts = order.slice(0, maxPerMessage).map(([account, limited]) => {
			limited.recordTold(receivers, nowMs);
			return {account, spent: limited.limit.spent, perSecond: this.#options.shares.measureDemand(account)};
		});
		return accounts.length === 0 ? undefined : {incarnation: this.#incarnation, accounts};
	}

	/** Applies what a peer has told. */
	applyNews(peer: string, {incarnation, accounts}: AccountNews): void {
		this.#applyConfig();
		const {clock, shares} = this.#options;
		for (const {account, spent, perSecond} of accounts) {
			const limited = this.#accounts.get(account);
			if (limited?.settings) {
				limited.limit.recordPeer(peer, {incarnation, spent, perSecond}, clock.nowMs());
				shares.recordPeerDemand(peer, account, perSecond);
			}
		}
	}

	#createCharge(limited: LimitedAccount, cost: number): AccountCharge {
		const {metrics} = this.#options;
		const {unit} = (limited.settings!);
		metrics.countAccountRequest({outcome: 'admitted', unit, amount: cost});
		return {
			giveBack() {
				limited.limit.giveBack(cost);
				metrics.countAccountRequest({outcome: 'returned', unit, amount: cost});
			},
			addRuns(runs) {
				limited.limit.charge(cost * runs);
				metrics.countAccountRequest({outcome: 'repeated', unit, amount: cost * runs});
			},
		};
	}

	#refuse(account: ForwardAccount, limited: LimitedAccount, {cost, limitMs, nowMs}: {readonly cost: number; readonly limitMs: number; readonly nowMs: number}): AccountAdmission {
		const {random, log, metrics, shares} = this.#options;
		const retryAfterMs = limited.scheduleRetry(cost, {nowMs, maxMs: limitMs * maxRetryFraction, random});
		metrics.countAccountRequest({outcome: 'refused', unit: limited.settings!.unit, amount: cost});
		if (limited.mayLog(nowMs)) {
			log.write('account', {
				account: account.name,
				was: 'refused',
				cost,
				...limited.limit.rate,
				...limited.limit.inspect(nowMs),
				demand: Math.round(shares.ownDemand(account.name)),
				retryAfterMs: Math.round(retryAfterMs),
			});
		}

		return {retryAfterMs};
	}

	/** Takes over the limits of a new configuration. */
	#applyConfig(): void {
		const routes = this.#options.routes();
		if (routes === this.#routes || !routes) {
			return;
		}

		this.#routes = routes;
		const {accounts} = routes.config;
		const names = new Set<string>(accounts.map(({name}) => name));
		for (const [name, limited] of this.#accounts) {
			if (!names.has(name)) {
				limited.settings = undefined;
			}
		}

		for (const account of accounts) {
			this.#applyAccount(account);
		}

		const limits = [...this.#accounts.values()].map(({settings}) => settings).filter(settings => settings !== undefined);
		this.#options.metrics.setLimitedAccounts(limits);
	}

	#applyAccount({name, limit, invalidLimit}: ForwardAccount): void {
		const known = this.#accounts.get(name);
		if (invalidLimit !== undefined) {
			this.#options.log.write('error', {
				what: 'reading the limit of an account', account: name, value: invalidLimit, inForce: known?.settings,
			});
			return;
		}

		if (!limit) {
			if (known) {
				known.settings = undefined;
			}
		} else if (known?.settings?.unit === limit.unit) {
			known.settings = limit;
			known.limit.setRate(limit, this.#options.clock.nowMs());
		} else {
			this.#accounts.set(name, this.#createAccount(name, limit, known?.limit.spent));
		}
	}

	/** `spent`: what this entry has told of the account so far. Peers would take a lower sum for spending that was given back. */
	#createAccount(name: string, settings: ForwardAccountLimit, spent = 0): LimitedAccount {
		const {clock, random, shares} = this.#options;
		const nowMs = clock.nowMs();
		const limit = new AccountLimit({
			name, shares, random, spent, fleet: () => this.#fleetPart(),
		}, settings, nowMs);
		if (nowMs - this.#startedMs >= settledMs) {
			limit.fill();
		}

		return new LimitedAccount(limit, settings);
	}

	#fleetPart(): FleetPart {
		const nowMs = this.#options.clock.nowMs();
		if (!this.#fleet || nowMs - this.#fleet.atMs >= fleetCacheMs) {
			this.#fleet = {atMs: nowMs, part: this.#options.fleet()};
		}

		return this.#fleet.part;
	}
}

/** Settles the charge of a request that has ended: one that has not run costs nothing, and each further run costs as much as the first. */
export const settleCharge = (charge: AccountCharge, {ran, furtherRuns = 0}: Outcome): void => {
	if (ran === 'not-run') {
		charge.giveBack();
	} else if (furtherRuns > 0) {
		charge.addRuns(furtherRuns);
	}
};
