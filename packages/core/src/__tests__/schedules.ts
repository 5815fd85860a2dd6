/**
 * Searches random schedules of steps on a simulated world for a violation of a property. The schedules are model-based
 * commands of fast-check with a fixed seed.
 */
import fc from 'fast-check';

/** One step with generated arguments. It changes nothing if it is not possible in the current state of the world. */
export type Step<World> = (world: World) => void;

/** A generator of steps of one kind. */
export type StepKind<World> = fc.Arbitrary<{readonly name: string; readonly step: Step<World>}>;

/** Creates a generator of steps whose arguments are non-negative integers, each below its limit. */
export const stepKind = <World>(
	name: string,
	limits: readonly number[],
	run: (world: World, ...args: number[]) => void,
): StepKind<World> => fc.tuple(...limits.map(limit => fc.nat({max: limit - 1}))).map(args => ({
	name: `${name}(${args.join(',')})`,
	step(world: World) {
		run(world, ...args);
	},
}));

/** Whether the bit with this index is set in the mask. */
export const hasBit = (mask: number, index: number): boolean => Math.floor(mask / (2 ** index)) % 2 === 1;

/** Parameters of a search. `check` runs after each step and throws if the world violates the property. */
export type ScheduleSearch<World> = {
	readonly seed: number;
	readonly runs: number;
	readonly steps: number;
	readonly createWorld: () => World;
	readonly kinds: ReadonlyArray<StepKind<World>>;
	readonly check: (world: World) => void;
};

/** Runs the schedules and returns a description of the first counterexample, or undefined if none violates the property. */
export const findViolation = <World extends object>(schedules: ScheduleSearch<World>): string | undefined => {
	const {seed, runs, steps, createWorld, kinds, check} = schedules;
	const commands = kinds.map(kind => kind.map(({name, step}): fc.Command<World, undefined> => ({
		check: () => true,
		run(world) {
			step(world);
			check(world);
		},
		toString: () => name,
	})));
	const property = fc.property(fc.commands(commands, {maxCommands: steps, size: 'max'}), generated => {
		fc.modelRun(() => ({model: createWorld(), real: undefined}), generated);
	});
	const result = fc.check(property, {seed, numRuns: runs, endOnFailure: true});
	return result.failed ? `${String(result.errorInstance)} after ${fc.stringify(result.counterexample)}` : undefined;
};
