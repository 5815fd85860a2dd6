/**
 * Turns the result of a generated validator into findings, so that a caller can report all of them together.
 */

/** One problem in a value, with its place inside that value. */
export type Finding = {
	/** JSON pointer to the field, empty for the value itself. */
	readonly place: string;
	readonly problem: string;
	readonly value?: unknown;
};

type ValidatorError = {
	readonly instancePath: string;
	readonly keyword: string;
	readonly message?: string;
	readonly params: Record<string, unknown>;
	readonly data?: unknown;
};

/** The shape of the generated validators. */
export type Validator = {
	(value: unknown): boolean;
	errors?: readonly ValidatorError[] | null;
};

/** A typed value, or every reason why it is none. */
export type Checked<Value>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly findings: readonly Finding[]};

const describeError = (error: ValidatorError): string => {
	const message = error.message ?? error.keyword;
	if (error.keyword === 'additionalProperties') {
		return `unknown field ${JSON.stringify(error.params.additionalProperty)}`;
	}

	if (error.keyword === 'enum') {
		return `${message}: ${JSON.stringify(error.params.allowedValues)}`;
	}

	if (error.keyword === 'const') {
		return `${message} ${JSON.stringify(error.params.allowedValue)}`;
	}

	return message;
};

/** Checks a value of unknown type with a generated validator. */
export const check = <Value>(validator: Validator, value: unknown): Checked<Value> => {
	if (validator(value)) {
		return {ok: true, value: value as Value};
	}

	const findings = (validator.errors ?? []).map(error => ({
		place: error.instancePath,
		problem: describeError(error),
		value: error.data,
	}));
	return {ok: false, findings};
};
