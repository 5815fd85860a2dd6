/**
 * Assertions of the bundled libraries, with a fixed message. Node.js words the message of a failed assertion by parsing the source file of the call. In a bundle
 * with few line breaks that takes seconds, in which the process does nothing else, and an answer of an endpoint, the store or another entry can make an
 * assertion of the HTTP client fail.
 */
'use strict';

class AssertionError extends Error {
	name = 'AssertionError';
	code = 'ERR_ASSERTION';
}

const assert = (value, message = 'an assertion of a library does not hold') => {
	if (!value) {
		throw message instanceof Error ? message : new AssertionError(message);
	}
};

assert.ok = assert;
assert.AssertionError = AssertionError;
module.exports = assert;
