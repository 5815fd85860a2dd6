/**
 * The one place that decides how a request is answered that ends before an attempt has delivered its answer: whatever ends it, a request that was read
 * gets an answer or a refusal, unless its connection is gone or its answer has begun.
 */
import type {Outcome} from '../requests/outcome.js';
import type {WireFormat} from '../ports.js';
import type {CallerExchange, EndReason} from './caller-exchange.js';

/** What ends a request early. `internal-error`: an exception while it was served. */
export type EarlyEnd = EndReason | 'internal-error';

/** Log status of a request whose connection is closed. It is never sent. */
const closedStatus = 499;

type Answer = Pick<Outcome, 'code' | 'retryAfterMs' | 'status'>;

/** Answers to requests that may have run. */
const answers: Readonly<Record<EarlyEnd, Answer>> = {
	'caller-left': {status: closedStatus, code: 'caller-left'},
	'entry-closed': {status: closedStatus, code: 'entry-closed'},
	'stop-limit': {status: 504, code: 'stop-limit'},
	timeout: {status: 504, code: 'timeout'},
	'internal-error': {status: 500, code: 'internal-error'},
};

/** Retry delay of a request that this entry cannot finish before its end. Its connection closes, so the retry reaches another entry. */
export const stoppingRetryMs = 50;

/** A request that has certainly not run can be sent to another entry at once. */
const answerOf = (end: EarlyEnd, ran: Outcome['ran']): Answer => end === 'stop-limit' && ran === 'not-run'
	? {status: 503, code: 'stopping', retryAfterMs: stoppingRetryMs}
	: answers[end];

/** Outcome of a request that ended early. */
export const createEarlyOutcome = (end: EarlyEnd, {ran, attempts}: Pick<Outcome, 'attempts' | 'ran'>): Outcome => ({...answerOf(end, ran), ran, attempts});

/** Sends what the outcome says, unless the answer is complete. An answer that has begun can only be cut off, so that it does not seem to be complete. */
export const finishExchange = (exchange: CallerExchange, {writeRefusal}: Pick<WireFormat, 'writeRefusal'>, requestId: string | undefined, outcome: Outcome): void => {
	if (exchange.isAnswered) {
		return;
	}

	if (exchange.hasSentHead || outcome.status === closedStatus) {
		exchange.closeConnection();
		return;
	}

	const {headers, body} = writeRefusal({...outcome, requestId});
	exchange.send(outcome.status, headers, body);
};
