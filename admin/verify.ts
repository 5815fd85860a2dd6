/**
 * The project's test command: installs Spin where it is missing, then runs every check and prints one summary line.
 */
import {spawnSync} from 'node:child_process';
import process from 'node:process';

type Step = {readonly name: string; readonly command: readonly string[]};

const steps: readonly Step[] = [
	{name: 'format and lint', command: ['npx', 'xo']},
	{name: 'type check', command: ['npx', 'tsc', '-p', 'tsconfig.json']},
	{name: 'generated code', command: ['npx', 'tsx', 'admin/generate-schema.ts', '--check']},
	{name: 'build', command: ['npx', 'tsc', '-b', 'tsconfig.build.json']},
	{name: 'models', command: ['npx', 'tsx', 'admin/run-models.ts']},
	{name: 'tests', command: ['npx', 'tsx', 'admin/run-tests.ts']},
];

/** Matches the closing line of a step that counts its own cases. */
const countPattern = /^\w+: (\d+) passed, (\d+) failed$/m;

const run = (command: readonly string[]): {readonly ok: boolean; readonly output: string} => {
	const [program = '', ...args] = command;
	const result = spawnSync(program, args, {encoding: 'utf8', maxBuffer: 256 * 1024 * 1024});
	const output = `${result.stdout ?? ''}${result.stderr ?? ''}`;
	process.stdout.write(output);
	return {ok: result.status === 0, output};
};

const installSpin = (): void => {
	if (spawnSync('spin', ['-V']).status === 0) {
		return;
	}

	console.log('spin is missing, installing it from the Debian packages');
	run(['apt-get', 'update', '-qq']);
	run(['apt-get', 'install', '-y', '-qq', 'spin', 'gcc', 'libc6-dev']);
};

let passed = 0;
let failed = 0;
installSpin();
for (const {name, command} of steps) {
	console.log(`\n== ${name}`);
	const startedAt = performance.now();
	const {ok, output} = run(command);
	const counts = countPattern.exec(output);
	passed += counts ? Number(counts[1]) : Number(ok);
	failed += counts ? Number(counts[2]) : Number(!ok);
	if (counts && !ok && Number(counts[2]) === 0) {
		failed += 1;
	}

	console.log(`== ${name}: ${ok ? 'ok' : 'FAILED'} in ${((performance.now() - startedAt) / 1000).toFixed(1)} s`);
}

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
