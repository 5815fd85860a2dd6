/**
 * Runs every `*.test.ts` file in a process of its own and adds up the results. Failures that KNOWN-RED.txt lists are
 * printed and do not fail the run; a listed test that passes fails the run, so that the list stays true, unless it is listed as
 * one that failed once and is not traced yet.
 */
import {spawn} from 'node:child_process';
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {stripVTControlCharacters} from 'node:util';

const testFolders = ['packages', 'platform/src'];
/**
 * Files whose tests start a fleet of up to a dozen processes each and hold it to limits of time. Four of them at once need more than
 * the 8 cores of a test machine: with a hunt beside them, or on two cores, such tests fail for want of processor time.
 */
const fleetFolders = ['histories', 'soak'].map(name => path.join('packages', name, 'src', '__tests__'));
/** Files that measure the memory and the descriptors of one process under a crowd of callers run one at a time, after all others. */
const crowdPrefix = 'crowd-';
const parallelFleetFiles = 2;
const parallelOtherFiles = 2;
// A test file that hangs must not use up the time of the whole run.
const fileTimeoutMs = 180_000;
const knownRedFile = 'KNOWN-RED.txt';

/** Result of one test file. */
type FileResult = {
	readonly file: string;
	readonly passed: number;
	readonly failures: readonly string[];
	readonly output: string;
	readonly durationMs: number;
};

const findTestFiles = async (): Promise<string[]> => {
	const folders = await Promise.all(testFolders.map(async folder => readdir(folder, {recursive: true, withFileTypes: true})));
	return folders.flat()
		.map(entry => path.join(entry.parentPath, entry.name))
		.filter(file => file.endsWith('.test.ts') && !file.includes('node_modules'))
		.toSorted();
};

const parseResult = (file: string, output: string, exitCode: number | null, durationMs: number): FileResult => {
	const text = stripVTControlCharacters(output);
	const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
	const passed = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
	const failures = [...text.matchAll(/^\s+FAIL\s+(.+)$/gm)].map(match => `${file}: ${match[1]!.trim()}`);
	if (total === 0 || (exitCode !== 0 && failures.length === 0)) {
		failures.push(`${file}: did not finish (exit code ${String(exitCode)})`);
	}

	return {
		file, passed, failures, output: text, durationMs,
	};
};

const runFile = async (file: string): Promise<FileResult> => new Promise(resolve => {
	const startMs = performance.now();
	const child = spawn(process.execPath, ['--import', 'tsx', '--conditions=source', file], {
		stdio: ['ignore', 'pipe', 'pipe'],
		timeout: fileTimeoutMs,
		killSignal: 'SIGKILL',
	});
	let output = '';
	const append = (chunk: Uint8Array): void => {
		output += String(chunk);
	};

	child.stdout.on('data', append);
	child.stderr.on('data', append);
	child.on('close', exitCode => {
		resolve(parseResult(file, output, exitCode, performance.now() - startMs));
	});
});

/** Runs files in their order, at most `parallel` at once. */
const runSome = async (files: readonly string[], parallel: number): Promise<FileResult[]> => {
	const waiting = [...files];
	const results: FileResult[] = [];
	const worker = async (): Promise<void> => {
		for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
			const result = await runFile(file);
			const seconds = (result.durationMs / 1000).toFixed(1);
			console.log(`${result.failures.length === 0 ? 'ok  ' : 'FAIL'} ${file} (${result.passed} passed, ${seconds} s)`);
			results.push(result);
		}
	};

	await Promise.all(Array.from({length: parallel}, worker));
	return results;
};

const runAll = async (files: readonly string[]): Promise<FileResult[]> => {
	const startsFleet = (file: string): boolean => fleetFolders.some(folder => file.startsWith(folder));
	const hasCrowd = (file: string): boolean => path.basename(file).startsWith(crowdPrefix);
	const others = files.filter(file => !startsFleet(file) && !hasCrowd(file));
	const results = await Promise.all([
		runSome(files.filter(file => startsFleet(file)), parallelFleetFiles),
		runSome(others, parallelOtherFiles),
	]);
	return [...results.flat(), ...await runSome(files.filter(file => hasCrowd(file)), 1)];
};

/** Tests that may fail. */
type KnownRed = {
	/** Fail in each run. */
	readonly always: ReadonlySet<string>;
	/** Failed once, for a cause that is not known yet. */
	readonly sometimes: ReadonlySet<string>;
};

const noneKnown: KnownRed = {always: new Set(), sometimes: new Set()};

/** Reads lines of the form `test: <file>: <name>` and `sometimes: <file>: <name>`. */
const readKnownRed = async (): Promise<KnownRed> => {
	const text = await readFile(knownRedFile, 'utf8').catch(() => '');
	const find = (pattern: RegExp): Set<string> => new Set([...text.matchAll(pattern)].map(match => match[1]!.trim()));
	return {always: find(/^test: (.+)$/gm), sometimes: find(/^sometimes: (.+)$/gm)};
};

const report = (results: readonly FileResult[], {always, sometimes}: KnownRed): boolean => {
	const failures = results.flatMap(result => result.failures);
	const isKnown = (failure: string): boolean => always.has(failure) || sometimes.has(failure);
	const unexpected = failures.filter(failure => !isKnown(failure));
	const fixed = [...always].filter(test => !failures.includes(test));
	for (const result of results.filter(result => result.failures.length > 0)) {
		console.log(`\n--- ${result.file}\n${result.output}`);
	}

	for (const failure of failures.filter(failure => isKnown(failure))) {
		console.log(`known red: ${failure}`);
	}

	for (const test of [...sometimes].filter(test => !failures.includes(test))) {
		console.log(`known red, passes in this run: ${test}`);
	}

	for (const failure of unexpected) {
		console.log(`failed: ${failure}`);
	}

	for (const test of fixed) {
		console.log(`listed in ${knownRedFile} but passes: ${test}`);
	}

	const passed = results.reduce((sum, result) => sum + result.passed, 0);
	const failed = unexpected.length + fixed.length;
	console.log(`\ntests: ${passed} passed, ${failed} failed`);
	return failed === 0;
};

const filters = process.argv.slice(2);
const allFiles = await findTestFiles();
const files = filters.length === 0 ? allFiles : allFiles.filter(file => filters.some(filter => file.includes(filter)));
const green = report(await runAll(files), filters.length === 0 ? await readKnownRed() : noneKnown);
process.exitCode = green ? 0 : 1;
