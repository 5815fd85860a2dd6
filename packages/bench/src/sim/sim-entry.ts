/**
 * An entry of the simulated fleet, and what the planner of its data centre sees through it.
 */
import type {LoadReading, LatencyTarget} from '@hawthorncleat/core';
import {platform} from '../deployments.js';
import type {EntryPolicy, PlannerView} from '../strategies/strategy.js';
import type {FakeEngine} from './engine.js';

export type SimEntry = {
	readonly dataCentre: string;
	readonly policy: EntryPolicy;
	readonly readings: Map<string, LoadReading>;
};

/** Round trip between a data centre and an engine. */
export const distanceMs = (dataCentre: string, engine: FakeEngine): number =>
	dataCentre === engine.spec.dataCentre ? platform.localDistanceMs : platform.betweenDataCentresMs;

type PlannerContext = {
	readonly dataCentres: readonly string[];
	readonly runners: readonly FakeEngine[];
	readonly nowMs: number;
	readonly target: LatencyTarget;
	reaches(dataCentre: string, engine: FakeEngine): boolean;
};

/** The planner reads the order rows, so each role is the ordered one; the rest of a reading lags. */
export const createPlannerView = (entry: SimEntry, context: PlannerContext): PlannerView => ({
	dataCentre: entry.dataCentre,
	dataCentres: context.dataCentres,
	endpoints: context.runners.map(engine => {
		const reading = entry.readings.get(engine.spec.id);
		return {
			id: engine.spec.id,
			dataCentre: engine.spec.dataCentre,
			distanceMs: distanceMs(entry.dataCentre, engine),
			rates: engine.spec.rates,
			reading: reading ? {...reading, role: engine.role} : undefined,
			reachable: context.reaches(entry.dataCentre, engine),
		};
	}),
	changing: new Set(context.runners.filter(({accepts}) => !accepts).map(({spec}) => spec.id)),
	kvCapacityTokens: platform.kvCapacityTokens,
	entry: entry.policy,
	nowMs: context.nowMs,
	target: context.target,
});

/** Tells the entries which engines they reach. */
export const noteReachability = (
	entries: readonly SimEntry[],
	engines: readonly FakeEngine[],
	reaches: PlannerContext['reaches'],
): void => {
	for (const {dataCentre, policy} of entries) {
		for (const engine of engines) {
			policy.setReachable(engine.spec.id, reaches(dataCentre, engine));
		}
	}
};
