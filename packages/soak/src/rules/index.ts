import type {Rule} from '../record.js';
import {
	answersAreOwn, limitsHold, refusalsAreTrue, servesAgain,
} from './answers.js';
import {limitsAreKept} from './limits.js';
import {fencesAreOwn, reportsAgree, stopsEnd} from './duties.js';
import {requestsAreNotCut} from './cut-requests.js';
import {
	actionsRunOnce, attemptsAreLimited, configsAreFollowed, configsDoNotGoBack, leftRequestsEnd, retriesAreFew, runsAreAsked,
} from './runs.js';

/** Every rule that the record of a run is checked against. */
export const rules: readonly Rule[] = [
	answersAreOwn,
	refusalsAreTrue,
	limitsHold,
	servesAgain,
	requestsAreNotCut,
	runsAreAsked,
	actionsRunOnce,
	attemptsAreLimited,
	retriesAreFew,
	limitsAreKept,
	leftRequestsEnd,
	configsAreFollowed,
	configsDoNotGoBack,
	reportsAgree,
	fencesAreOwn,
	stopsEnd,
];
