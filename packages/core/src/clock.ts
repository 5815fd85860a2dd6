/**
 * Clock and random source, which are passed as arguments so that tests control them. The value of `nowMs` has an arbitrary
 * origin: only differences between values of the same host are meaningful.
 */

/** A monotonic clock. */
export type Clock = {nowMs(): number};

/** A random source with values in the range [0, 1). */
export type Random = () => number;
