/**
 * Random schedules of steps on a simulated world, as model-based commands of fast-check under a fixed seed.
 */
import fc from 'fast-check';

/** One kind of step with its generated arguments. It does nothing where it is not possible. */
export type Step<World> = (world: World) => void;

/** A generator of steps of one kind. */
export type StepKind<World> = fc.Arbitrary<{readonly name: string; readonly step: Step<World>}>;

/** Generator of steps with whole numbers as arguments, each below its limit. */
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

/** Whether a mask includes the member with this index. */
export const hasBit = (mask: number, index: number): boolean => Math.floor(mask / (2 ** index)) % 2 === 1;

/** What to run. `check` throws when the world violates the property; it runs after each step. */
export type ScheduleSearch<World> = {
	readonly seed: number;
	readonly runs: number;
	readonly steps: number;
	readonly createWorld: () => World;
	readonly kinds: ReadonlyArray<StepKind<World>>;
	readonly check: (world: World) => void;
};

/** Returns the description of a counterexample, or undefined if no schedule violates the property. */
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
