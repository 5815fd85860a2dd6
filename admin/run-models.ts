/**
 * Checks every Promela model under `models/` exhaustively with Spin. A model passes without a fault flag and must fail
 * with each of its seeded faults, which its first lines list as `/* fault: FAULT_NAME * /`.
 */
import {spawnSync} from 'node:child_process';
import {
	mkdtemp, readFile, readdir, rm,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

// Processes that wait for ever are allowed (-E): the properties are assertions, and a crashed peer leaves others waiting.
const modelFolder = 'models';
const searchDepth = 1_000_000;
// Limits that keep `verify` short. The memory of a search is limited as well, because the machine is shared.
const maxSearchMs = 15_000;
const maxTotalSearchMs = 90_000;
const maxMemoryMegabytes = 4000;

const run = (folder: string, program: string, args: readonly string[]): string => {
	const result = spawnSync(program, args, {cwd: folder, encoding: 'utf8', maxBuffer: 64 * 1024 * 1024});
	return `${result.stdout ?? ''}${result.stderr ?? ''}`;
};

/** Verdict of one exhaustive search. */
type Verdict = {readonly violated: boolean; readonly complete: boolean; readonly searchMs: number; readonly output: string};

const search = async (model: string, fault?: string): Promise<Verdict> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'hawthorncleat-model-'));
	try {
		const flags = fault ? [`-D${fault}`] : [];
		const generated = run(folder, 'spin', [...flags, '-a', path.resolve(modelFolder, model)]);
		const compiled = run(folder, 'cc', ['-O1', '-w', '-DSAFETY', '-DVECTORSZ=4096', `-DMEMLIM=${maxMemoryMegabytes}`, '-o', 'pan', 'pan.c']);
		const startedMs = performance.now();
		const searched = run(folder, './pan', ['-E', `-m${searchDepth}`]);
		return {
			violated: searched.includes('assertion violated'),
			complete: /errors: 0$/m.test(searched)
				&& !searched.includes('max search depth too small')
				&& !searched.includes('Search not completed'),
			searchMs: performance.now() - startedMs,
			output: `${generated}${compiled}${searched}`,
		};
	} finally {
		await rm(folder, {recursive: true});
	}
};

let totalSearchMs = 0;

const checkModel = async (model: string, fault?: string): Promise<boolean> => {
	const verdict = await search(model, fault);
	const ok = (fault ? verdict.violated : verdict.complete) && verdict.searchMs <= maxSearchMs;
	const expectation = fault ? `with ${fault} a violation is found` : 'holds in all states';
	const states = /([\d.e+]+) states, stored/.exec(verdict.output)?.[1] ?? '?';
	const seconds = (verdict.searchMs / 1000).toFixed(1);
	console.log(`${ok ? 'ok  ' : 'FAIL'} ${model}: ${expectation} (${states} states, ${seconds} s)`);
	totalSearchMs += verdict.searchMs;
	if (!ok) {
		console.log(verdict.output);
	}

	return ok;
};

const listFaults = async (model: string): Promise<string[]> => {
	const text = await readFile(path.join(modelFolder, model), 'utf8');
	return [...text.matchAll(/^\/\* fault: (FAULT_\w+)/gm)].map(match => match[1]!);
};

const results: boolean[] = [];
const fileNames = await readdir(modelFolder);
const models = fileNames.filter(file => file.endsWith('.pml')).toSorted();
for (const model of models.filter(model => process.argv.length < 3 || process.argv.includes(model))) {
	for (const fault of [undefined, ...await listFaults(model)]) {
		results.push(await checkModel(model, fault));
	}
}

const passed = results.filter(Boolean).length;
const isInTime = totalSearchMs <= maxTotalSearchMs;
console.log(`\nsearches: ${(totalSearchMs / 1000).toFixed(1)} s in all${isInTime ? '' : `, more than ${maxTotalSearchMs / 1000} s`}`);
console.log(`models: ${passed} passed, ${results.length - passed} failed`);
process.exitCode = passed === results.length && isInTime ? 0 : 1;
