/**
 * Time and randomness as arguments. Only differences of `nowMs` are meaningful, and only on one host.
 */

/** A monotonic clock. */
export type Clock = {nowMs(): number};

/** A random source with values from 0 up to, not including, 1. */
export type Random = () => number;
