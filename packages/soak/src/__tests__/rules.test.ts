import {describe, it} from '@hawthorncleat/test-kit';
import {retryLimits} from '@hawthorncleat/platform/stand-ins';
import * as assert from 'uvu/assert';
import type {SoakRecord} from '../record.js';
import {rules} from '../rules/index.js';

type KeyedCall = SoakRecord['calls'][number];
type Run = SoakRecord['runs'][number];

const recoveredMs = 60_000;
/** End of a request that has reached the time limit of its route. */
const endedAtLimit = {endedMs: 12_000};
const services = {
	read: 'desk', order: 'desk', stream: 'desk', plan: 'models',
};
const keys = {acme: ['k1', 'k2']};

const createCall = (changes: Partial<KeyedCall> = {}): KeyedCall => {
	const {id = 'c1', route = 'read'} = changes;
	return {
		id, entry: 'e1', route, method: 'POST', target: `/${route}/${id}`, body: 'b', account: 'acme', key: 'k1', sentMs: 10_000, endedMs: 10_100, status: 200,
		text: `answer ${id}`, isWhole: true, isSealed: true, answeredId: id, ...changes,
	};
};

const createRun = ({id, target, body, account, sentMs}: KeyedCall, changes: Partial<Run> = {}): Run => ({
	endpoint: 'i-1', service: 'desk', requestId: id, method: 'POST', target, body, account, hasKey: false, isPrefill: false, cacheOf: undefined, leftMs: 900,
	atMs: sentMs + 5, ...changes,
});

/** Enough calls after the recovery to satisfy the rule `serves again`, which every record is checked against. */
const createLaterCalls = (status = 200): KeyedCall[] => Array.from({length: 30}, (_, index) =>
	createCall({
		id: `later${index}`, sentMs: recoveredMs + 10 + index, endedMs: recoveredMs + 100, status, isSealed: status === 200,
	}));

/** Returns the names of the rules that a record with these changes breaks. */
const check = (changes: Partial<SoakRecord>): string[] => {
	const record: SoakRecord = {
		runs: [], reports: [], orders: [], disturbances: [], endpointFaults: [], limits: [], stops: [], retryLimits, recoveredMs, configs: [{
			version: 1, atMs: 0, services, keys,
		}], ...changes, calls: [...changes.calls ?? [], ...createLaterCalls()],
	};
	return [...new Set(rules.flatMap(rule => rule(record)).map(({rule}) => rule))];
};

/** Checks a record with one call and its runs. Returns the names of the broken rules. */
const checkCall = (changes: Partial<KeyedCall>, ...runs: Array<Partial<Run>>): string[] => {
	const call = createCall(changes);
	return check({calls: [call], runs: runs.map(run => createRun(call, run))});
};

/** The ways in which a caller sees its request cut off. */
const cutCalls: ReadonlyArray<Partial<KeyedCall>> = [
	{
		status: 0, text: '', isWhole: false, isSealed: false, answeredId: undefined,
	},
	{route: 'stream', text: 'id: 1\ndata: c1 1\n\n', isWhole: false},
	{status: 502, text: '', isSealed: false},
];

const fault = {
	fault: 'crash', endpoint: 'i-1', service: 'desk', fromMs: 10_050, untilMs: 10_900,
};
const disturbance = {
	fault: 'kill', entry: 'e1', fromMs: 9000, untilMs: 9500,
};

/** Checks a record with one call that was cut off, and with its run at `i-1`. Returns the names of the broken rules. */
const checkCut = (cut: Partial<KeyedCall>, changes: Partial<SoakRecord> = {}): string[] => {
	const call = createCall(cut);
	return check({...changes, calls: [call], runs: [createRun(call)]});
};

describe('the rules of the soak', () => {
	it('accept a record without violations; guards against rules that report every record', () => {
		assert.equal(checkCall({}, {}), []);
		assert.equal(checkCall({status: 503, isSealed: false, route: 'order'}), []);
	});

	describe('accept a request that is cut off', () => {
		it('when an endpoint that ran it broke off or failed, or its connection was lost; guards against blame for the endpoint\'s end', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut(cut, {endpointFaults: [fault]}), []);
				assert.equal(checkCut(cut, {
					endpointFaults: [{
						...fault, fault: 'cut', fromMs: 10_110, untilMs: 10_110,
					}],
				}), []);
			}
		});

		it('when the connection ends on which its answer was lost; guards against blame for the end of a connection that had gone silent before', () => {
			const call = createCall({...cutCalls[2], endedMs: 10_900});
			const runs = [createRun(call, {endedMs: 10_180})];
			const silent = {
				...fault, fault: 'connections-silent', fromMs: 9700, untilMs: 9700,
			};
			const cut = {
				...fault, fault: 'cut', fromMs: 10_880, untilMs: 10_880,
			};
			assert.equal(check({calls: [call], runs, endpointFaults: [silent, cut]}), []);
			for (const endpointFaults of [
				[silent],
				[cut],
				[{...silent, endpoint: 'i-2'}, cut],
				[silent, {...cut, endpoint: 'i-2'}],
				[{...silent, fromMs: 10_300, untilMs: 10_300}, cut],
				[{...silent, fromMs: 7900, untilMs: 7900}, cut],
				[silent, {...cut, fromMs: 11_100, untilMs: 11_100}],
			]) {
				assert.equal(check({calls: [call], runs, endpointFaults}), ['requests are not cut'], JSON.stringify(endpointFaults));
			}
		});

		it('on its way to an endpoint of its service that failed; guards against blame for a connection that was lost before the run', () => {
			const call = createCall({...cutCalls[0]});
			const prefill = createRun(call, {isPrefill: true});
			assert.equal(check({calls: [call], endpointFaults: [{...fault, endpoint: 'i-2'}]}), []);
			assert.equal(check({calls: [call], runs: [prefill], endpointFaults: [{...fault, endpoint: 'i-2'}]}), []);
			assert.equal(check({calls: [call], runs: [prefill]}), ['requests are not cut']);
		});

		it('at its time limit; guards against blame for the end that the configuration asks for', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut({...cut, ...endedAtLimit}), []);
			}
		});

		it('by its own caller; guards against blame for a caller that leaves', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut({...cut, leftMs: 10_090}), []);
			}
		});

		it('at an entry that a fault affected; guards against blame for a killed process', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut(cut, {disturbances: [disturbance]}), []);
				assert.equal(checkCut(cut, {disturbances: [{...disturbance, entry: undefined}]}), []);
			}
		});
	});

	describe('report a planted violation', () => {
		it('a success without a seal, for another request, cut off or altered', () => {
			assert.equal(checkCall({isSealed: false}, {}), ['answers are own']);
			assert.equal(checkCall({answeredId: 'c2'}, {}), ['answers are own']);
			assert.equal(checkCall({text: 'ans'}, {}), ['answers are own']);
			assert.equal(checkCall({text: 'other', isWhole: false, ...endedAtLimit}, {}), ['answers are own']);
		});

		it('a stream that misses an event or appears complete before its end', () => {
			assert.equal(checkCall({route: 'stream', text: 'id: 1\ndata: c1 1\n\nid: 3\ndata: c1 3\n\n'}, {}), ['answers are own']);
			assert.equal(checkCall({route: 'stream', text: 'id: 1\ndata: c1 1\n\n'}, {}), ['answers are own']);
			assert.equal(checkCall({
				route: 'stream', text: 'id: 1\ndata: c1 1\n\n', isWhole: false, ...endedAtLimit,
			}, {}), []);
		});

		it('a sealed failure that no endpoint sent', () => {
			assert.equal(checkCall({status: 502, ...endedAtLimit}, {}), ['answers are own']);
		});

		it('an action that ran twice, or ran although it was rejected', () => {
			assert.equal(checkCall({route: 'order'}, {}, {endpoint: 'i-2'}), ['actions run once']);
			assert.equal(checkCall({route: 'order', status: 503, isSealed: false}, {}), ['refusals are true']);
		});

		it('a run of a changed request, of one that no caller sent, with the caller\'s key, for another account or from another request\'s KV cache', () => {
			assert.equal(checkCall({}, {body: 'other'}), ['runs are asked']);
			assert.equal(checkCall({}, {requestId: 'none'}), ['runs are asked']);
			assert.equal(checkCall({}, {hasKey: true}), ['runs are asked']);
			assert.equal(checkCall({}, {account: 'bolt'}), ['runs are asked']);
			assert.equal(checkCall({}, {cacheOf: 'c9'}), ['runs are asked']);
		});

		it('more attempts than the route allows, and more retries than the settings allow', () => {
			const calls = Array.from({length: 20}, (_, index) => createCall({id: `c${index}`}));
			const repeat = (times: number): Run[] => calls.flatMap(call => Array.from({length: times}, () => createRun(call)));
			assert.equal(check({calls, runs: repeat(3)}), []);
			assert.equal(check({calls, runs: repeat(4)}), ['attempts are limited', 'retries are few']);
		});

		it('runs that start after their callers have left, unless a fault affected the entry', () => {
			const calls = Array.from({length: 4}, (_, index) => createCall({id: `c${index}`, leftMs: 10_020}));
			const runs = calls.map(call => createRun(call, {atMs: 10_600}));
			assert.equal(check({calls, runs}), ['left requests end']);
			const pause = {
				fault: 'pause', entry: 'e1', fromMs: 9000, untilMs: 10_500,
			};
			assert.equal(check({calls, runs, disturbances: [pause]}), []);
		});

		it('a service that no configuration allows, and a key that was removed', () => {
			assert.equal(checkCall({}, {service: 'spare'}), ['configs are followed']);
			const call = createCall({key: 'k2', sentMs: 30_000});
			const configs = [{
				version: 1, atMs: 0, services, keys,
			}, {
				version: 2, atMs: 20_000, services, keys: {acme: ['k1']},
			}];
			assert.equal(check({configs, calls: [call], runs: [createRun(call)]}), ['configs are followed']);
			const early = createCall({key: 'k2', sentMs: 22_000});
			assert.equal(check({configs, calls: [early], runs: [createRun(early)]}), []);
		});

		it('an older configuration after a newer one in a process that lives on, also when only the store had a fault', () => {
			const configs = [{
				version: 1, atMs: 0, services, keys,
			}, {
				version: 2, atMs: 9000, services: {...services, read: 'spare'}, keys,
			}];
			const calls = [createCall(), createCall({id: 'c2', sentMs: 10_400})];
			const runs = [createRun(calls[0]!, {service: 'spare'}), createRun(calls[1]!)];
			const storeFault = {...disturbance, fault: 'store-restored', isOfStore: true};
			assert.equal(check({configs, calls, runs}), ['configs do not go back']);
			assert.equal(check({
				configs, calls, runs, disturbances: [{...storeFault, entry: undefined}],
			}), ['configs do not go back']);
			assert.equal(check({
				configs, calls, runs, disturbances: [{...disturbance, fromMs: 10_100, untilMs: 10_300}],
			}), []);
			const atOnce = [calls[0]!, createCall({id: 'c2', sentMs: 10_200})];
			assert.equal(check({configs, calls: atOnce, runs: [runs[0]!, createRun(atOnce[1]!)]}), []);
		});

		it('two figures of one window, a shared or lower fence and a run that no configuration allows, although the store returned from a copy', () => {
			const storeFault = {
				...disturbance, entry: undefined, fault: 'store-restored', isOfStore: true, fromMs: 0, untilMs: recoveredMs,
			};
			const report = {
				window: 7, counts: {acme: 3}, holder: 'e1', fence: 2, isAccepted: true,
			};
			assert.equal(check({disturbances: [storeFault], reports: [report, {...report, counts: {acme: 4}}]}), ['reports agree']);
			assert.equal(check({disturbances: [storeFault], reports: [report, {...report, holder: 'e2'}]}), ['fences are own']);
			const order = {endpoint: 'i-1', holder: 'e1', fence: 5};
			assert.equal(check({disturbances: [storeFault], orders: [order, {...order, fence: 4}]}), ['fences are own']);
			const call = createCall();
			assert.equal(check({disturbances: [storeFault], calls: [call], runs: [createRun(call, {service: 'spare'})]}), ['configs are followed']);
		});

		it('requests that get no answer until long after their time limit', () => {
			const calls = Array.from({length: 5}, (_, index) => createCall({
				id: `c${index}`, status: 504, isSealed: false, endedMs: 12_600,
			}));
			assert.equal(check({calls}), ['limits hold']);
		});

		it('a request that is cut off while its endpoint is sound or only silent', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut(cut), ['requests are not cut']);
				assert.equal(checkCut(cut, {endpointFaults: [{...fault, fault: 'silence'}]}), ['requests are not cut']);
			}
		});

		it('a request that is cut off during a fault that did not concern it: of another endpoint, before or after its run, or of the store alone', () => {
			for (const cut of cutCalls) {
				assert.equal(checkCut(cut, {endpointFaults: [{...fault, endpoint: 'i-2'}]}), ['requests are not cut']);
				assert.equal(checkCut(cut, {endpointFaults: [{...fault, fromMs: 9000, untilMs: 9800}]}), ['requests are not cut']);
				assert.equal(checkCut(cut, {endpointFaults: [{...fault, fromMs: 10_300, untilMs: 10_400}]}), ['requests are not cut']);
				assert.equal(checkCut(cut, {disturbances: [{...disturbance, isOfStore: true}]}), ['requests are not cut']);
				assert.equal(checkCut(cut, {disturbances: [{...disturbance, entry: 'e2'}]}), ['requests are not cut']);
			}
		});

		it('a request that is cut off without a run while only endpoints of other services fail', () => {
			const call = createCall({...cutCalls[0]});
			assert.equal(check({calls: [call]}), ['requests are not cut']);
			assert.equal(check({calls: [call], endpointFaults: [{...fault, service: 'models'}]}), ['requests are not cut']);
		});

		it('different figures for one usage window, one fence used by two holders, and an order with a lower fence', () => {
			const report = {
				window: 7, counts: {acme: 3}, holder: 'e1', fence: 2, isAccepted: true,
			};
			assert.equal(check({reports: [report, report]}), []);
			assert.equal(check({reports: [report, {...report, counts: {acme: 4}}]}), ['reports agree']);
			assert.equal(check({reports: [report, {...report, holder: 'e2'}]}), ['fences are own']);
			const order = {endpoint: 'i-1', holder: 'e1', fence: 5};
			assert.equal(check({orders: [order, {...order, holder: 'e2', fence: 4}]}), ['fences are own']);
		});

		it('an endpoint that gets more requests than the limit that it named; guards against entries that overrun an endpoint in need', () => {
			const limit = {
				endpoint: 'i-1', perSecond: 1, fromMs: 5000, untilMs: 14_000,
			};
			const calls = Array.from({length: 12}, (_, index) => createCall({id: `limited${index}`, sentMs: 9000 + (index * 100)}));
			const runs = calls.map(call => createRun(call));
			assert.equal(check({calls, runs, limits: [limit]}), ['limits are kept']);
			assert.equal(check({calls, runs: runs.slice(0, 11), limits: [limit]}), []);
			assert.equal(check({calls, runs, limits: [{...limit, fromMs: 8000}]}), []);
			assert.equal(check({
				calls, runs, limits: [limit], disturbances: [{...disturbance, fromMs: 8900, untilMs: 9100}],
			}), []);
			assert.equal(check({
				calls, runs, limits: [limit], endpointFaults: [{...fault, fromMs: 8900, untilMs: 9100}],
			}), []);
		});

		it('an entry that does not serve again after the faults, and a planned stop that fails or takes too long', () => {
			assert.equal(check({calls: createLaterCalls(503).map(call => ({...call, entry: 'e2'}))}), ['serves again']);
			assert.equal(check({stops: [{entry: 'e1', code: 1, lastedMs: 10}]}), ['stops end']);
			assert.equal(check({stops: [{entry: 'e1', code: 0, lastedMs: 7000}]}), ['stops end']);
		});
	});
});
