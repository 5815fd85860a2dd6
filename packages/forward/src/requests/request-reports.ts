/**
 * Writes the log lines and counts the metrics of requests and their attempts.
 */
import type {RequestEnd} from '../callers/caller-handler.js';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import {sharedSegmentIds, type AdmittedRequest} from './admitted-request.js';
import type {AttemptReport, StallReport} from './attempt-report.js';
import type {AttemptResult} from './attempt-result.js';

const decimalFactor = 100;
/** Loads are fractions, so they need two decimals. */
const roundToHundredths = (inputs: Readonly<Record<string, number>> = {}): Record<string, number> => Object.fromEntries(Object.entries(inputs)
	.map(([name, value]) => [name, Math.round(value * decimalFactor) / decimalFactor]));

/** Whole milliseconds are enough for a log line. */
const roundTimes = (fields: Readonly<Record<string, unknown>>): Record<string, unknown> => Object.fromEntries(Object.entries(fields)
	.map(([name, value]) => [name, typeof value === 'number' ? Math.round(value) : value]));

const describeResult = (result: AttemptResult): Record<string, unknown> => {
	if (result.kind === 'superseded') {
		return {isSuperseded: true};
	}

	return result.kind === 'failed' ? {failure: result.failure, detail: result.detail} : {status: result.status};
};

/** Requests that were cut off together may have a segment of their prompts in common that crashes engines. */
const isConnectionLost = (result: AttemptResult): boolean => result.kind === 'failed' && result.failure === 'connection-lost';

export class RequestReports {
	readonly #log: DecisionLog;
	readonly #metrics: ForwardMetrics;

	constructor(log: DecisionLog, metrics: ForwardMetrics) {
		this.#log = log;
		this.#metrics = metrics;
	}

	recordAttempt({request, route, outputTokens}: AdmittedRequest, report: AttemptReport): void {
		this.#metrics.countAttempt(report);
		const {result, decode, keptOut, ...figures} = report;
		this.#log.write('attempt', {
			id: request.id,
			route: route.name,
			tokens: request.promptTokens,
			outputTokens: Math.round(outputTokens),
			guessedTokens: request.guessedTokens,
			maxOutputTokens: request.maxOutputTokens,
			...roundTimes(figures),
			...decode && {decode: roundToHundredths(decode)},
			...result.stream && {stream: roundToHundredths(result.stream)},
			...describeResult(result),
			...keptOut && {keptOut: roundTimes(keptOut)},
			...isConnectionLost(result) && {segments: sharedSegmentIds(request)},
		});
	}

	recordStall({request, route}: AdmittedRequest, stall: StallReport): void {
		this.#metrics.countStall(stall);
		const {inputs, ...rest} = stall;
		this.#log.write('stall', {
			id: request.id, route: route.name, ...rest, ...inputs && {inputs: roundToHundredths(inputs)},
		});
	}

	recordEnd({outcome, tookMs, ...end}: RequestEnd): void {
		this.#metrics.countRequest({outcome, tookMs, ...end});
		const {inputs, ...rest} = outcome;
		this.#log.write('request', {
			...end, tookMs: Math.round(tookMs), ...rest, ...inputs && {inputs: roundToHundredths(inputs)},
		});
	}
}
