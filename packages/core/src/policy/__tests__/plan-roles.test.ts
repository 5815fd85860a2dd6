import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	coversBothStages, defaultRolePlanOptions, planRoles, type EngineRole, type RolePlanInput, type TokenDemand,
} from '../index.js';

const rates = {
	prefillTokensPerSecond: 12_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};
const promptHeavy = {promptTokensPerSecond: 40_000, outputTokensPerSecond: 1000};
const outputHeavy = {promptTokensPerSecond: 5000, outputTokensPerSecond: 5000};

const createInput = (roles: readonly EngineRole[], demand: TokenDemand): RolePlanInput => ({
	nowMs: 0,
	model: {rates, maxMsPerToken: 66},
	engines: roles.map((role, index) => ({
		id: `e${index}`, role, isChanging: false, cachedTokens: 0, runningTokens: 0,
	})),
	otherEngines: {mixed: 0, prefill: 0, decode: 0},
	demand,
	rank: 0,
	memory: {},
	options: defaultRolePlanOptions,
});

/** Calls the planner once per second and applies its changes immediately. */
const runPlanner = (start: RolePlanInput, seconds: number, demandAt: (second: number) => TokenDemand) => {
	const clock = createManualClock();
	const changes: EngineRole[] = [];
	let input = start;
	for (let second = 0; second < seconds; second++) {
		const plan = planRoles({...input, nowMs: clock.nowMs(), demand: demandAt(second)});
		const {change} = plan;
		const engines = input.engines.map(engine => engine.id === change?.endpoint ? {...engine, role: change.role} : engine);
		input = {...input, engines, memory: plan.memory};
		changes.push(...change ? [change.role] : []);
		clock.advance(1000);
	}

	return {changes, roles: input.engines.map(({role}) => role)};
};

describe('planRoles', () => {
	it('guards against roles that do not follow the demand', () => {
		const {roles} = runPlanner(createInput(['mixed', 'mixed', 'mixed', 'mixed'], promptHeavy), 120, () => promptHeavy);
		assert.ok(roles.filter(role => role === 'prefill').length >= 2, roles.join(','));
	});

	it('guards against role changes while the demand alternates faster than a change can pay for itself', () => {
		const start = createInput(['prefill', 'prefill', 'mixed', 'decode'], promptHeavy);
		const {changes} = runPlanner(start, 300, second => Math.floor(second / 3) % 2 === 0 ? promptHeavy : outputHeavy);
		assert.is(changes.length, 0);
	});

	it('assigns prefill to the slowest engine; guards against giving it to a fast engine because that change costs less', () => {
		const input = createInput(['decode', 'decode', 'decode', 'decode', 'mixed'], promptHeavy);
		const decodeStepMs = [20, 31, 21, 22, 20];
		const engines = input.engines.map((engine, index) => ({...engine, decodeStepMs: decodeStepMs[index]!, runningTokens: index === 1 ? 20_000 : 5000}));
		const plan = planRoles({...input, engines, memory: {pendingRole: 'prefill', pendingSinceMs: -10_000}});
		assert.is(plan.change?.role, 'prefill');
		assert.is(plan.change?.endpoint, 'e1');
	});

	it('chooses the engine by cost while the speed of one engine is not measured', () => {
		const input = createInput(['decode', 'decode', 'decode', 'decode', 'mixed'], promptHeavy);
		const engines = input.engines.map((engine, index) => ({...engine, decodeStepMs: index === 1 ? 31 : undefined, runningTokens: index === 2 ? 0 : 20_000}));
		const plan = planRoles({...input, engines, memory: {pendingRole: 'prefill', pendingSinceMs: -10_000}});
		assert.is(plan.change?.endpoint, 'e2');
	});

	it('guards against a second change while one is running', () => {
		const input = createInput(['decode', 'decode', 'decode', 'mixed'], promptHeavy);
		const engines = input.engines.map((engine, index) => ({...engine, isChanging: index === 0}));
		assert.is(planRoles({...input, engines, nowMs: 100_000}).reason, 'changing');
	});

	it('guards against a change whose lost cache costs more than the change gains', () => {
		const input = createInput(['decode', 'decode', 'decode', 'mixed'], promptHeavy);
		const engines = input.engines.map(engine => ({...engine, cachedTokens: 10_000_000}));
		assert.is(planRoles({...input, engines}).reason, 'no-gain');
	});

	it('guards against removing the last endpoint of a stage, even during the change', () => {
		const role = fc.constantFrom<EngineRole>('mixed', 'prefill', 'decode');
		const demand = fc.record({promptTokensPerSecond: fc.nat(80_000), outputTokensPerSecond: fc.nat(8000)});
		const options = {...defaultRolePlanOptions, dwellMs: 0};
		fc.assert(fc.property(fc.array(role, {minLength: 1, maxLength: 6}), demand, (roles, demand) => {
			const input = {...createInput(roles, demand), options};
			const {change} = planRoles(input);
			const others = input.engines.filter(({id}) => id !== change?.endpoint).map(({role}) => role);
			assert.ok(!change || coversBothStages(others));
		}), {seed: 14, numRuns: 300});
	});
});
