/**
 * Nested `describe` blocks on top of uvu's `suite`. The name of a test is prefixed with the names of its enclosing blocks, so
 * that a failure report identifies the test.
 */
import {suite, type Test} from 'uvu';

type TestBody = () => Promise<void> | void;
type Block = {readonly path: readonly string[]; readonly tests: Test};

const blocks: Block[] = [];

const currentBlock = (): Block => {
	const block = blocks.at(-1);
	if (!block) {
		throw new Error('call this inside describe()');
	}

	return block;
};

const runBlock = (block: Block, body: () => void): void => {
	blocks.push(block);
	try {
		body();
	} finally {
		blocks.pop();
	}
};

/** Groups tests. The outermost block is a uvu suite, which is scheduled to run when `body` returns. */
export const describe = (name: string, body: () => void): void => {
	const parent = blocks.at(-1);
	if (parent) {
		runBlock({path: [...parent.path, name], tests: parent.tests}, body);
		return;
	}

	const tests = suite(name);
	runBlock({path: [], tests}, body);
	tests.run();
};

/** Registers one test in the enclosing block. */
export const it = (name: string, body: TestBody): void => {
	const {path, tests} = currentBlock();
	tests([...path, name].join(' > '), body);
};

/** Runs before each test of the outermost block. */
export const beforeEach = (body: TestBody): void => {
	currentBlock().tests.before.each(body);
};

/** Runs after each test of the outermost block. */
export const afterEach = (body: TestBody): void => {
	currentBlock().tests.after.each(body);
};
