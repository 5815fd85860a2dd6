/**
 * Validates values with the generated JSON Schema validators and returns all problems as a list of findings, so that a caller
 * can report them together.
 */

/** One problem in a value, with its location in that value. */
export type Finding = {
	/** JSON pointer to the field. It is empty for the value itself. */
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

/** The type of the generated validators. */
export type Validator = {
	(value: unknown): boolean;
	errors?: readonly ValidatorError[] | null;
};

/** The typed value, or all the reasons why the value does not match the schema. */
export type ValidationResult<Value>
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

/** Validates a value of unknown type with a generated validator. */
export const validate = <Value>(validator: Validator, value: unknown): ValidationResult<Value> => {
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
