/**
 * Log lines and spans of the entry behind one small interface.
 */

/** A log that takes lines on a change of state. */
export type Log = {
	info(message: string, fields?: Readonly<Record<string, unknown>>): void;
	warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
};

/** One hop of a request. */
export type Span = {
	/** Value of the `traceparent` header for the next hop. */
	readonly traceparent: string;
	setAttribute(name: string, value: string | number): void;
	end(err?: unknown): void;
};

export type Telemetry = {
	readonly log: Log;
	/** Starts a span below `parent`, or a new trace if there is no valid parent. */
	startSpan(name: string, parent?: string): Span;
};

const traceparentPattern = /^00-(?!0{32})[\da-f]{32}-(?!0{16})[\da-f]{16}-[\da-f]{2}$/;

/** Returns the header if it is a valid `traceparent`. */
export const parseTraceparent = (header: unknown): string | undefined =>
	typeof header === 'string' && traceparentPattern.test(header) ? header : undefined;

const hex = (length: number, random: () => number): string => {
	let digits = '';
	for (let index = 0; index < length; index++) {
		digits += Math.floor(random() * 16).toString(16);
	}

	// All zeros mean "invalid" in a traceparent.
	return /^0+$/.test(digits) ? `${digits.slice(1)}1` : digits;
};

/** Telemetry that propagates traces and records nothing. */
export const createSilentTelemetry = (random: () => number): Telemetry => ({
	log: {info() {/* Nothing is recorded. */}, warn() {/* Nothing is recorded. */}},
	startSpan(_name, parent) {
		const [, traceId, , flags] = parseTraceparent(parent)?.split('-') ?? ['', hex(32, random), '', '00'];
		return {
			traceparent: `00-${traceId}-${hex(16, random)}-${flags}`,
			setAttribute() {/* Nothing is recorded. */},
			end() {/* Nothing is recorded. */},
		};
	},
});
