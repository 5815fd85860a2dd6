import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import * as assert from 'uvu/assert';
import {
	describe, findFreePort, it, resetPortAllocation,
} from '../index.js';

const printPortsPath = fileURLToPath(new URL('../__fixtures__/print-ports.ts', import.meta.url));
const processes = 4;
const portsEach = 300;

const startProcess = (): ChildProcess => spawn(
	process.execPath,
	['--import', 'tsx', '--conditions=source', printPortsPath, String(portsEach)],
	{stdio: ['pipe', 'pipe', 'inherit']},
);

const readPorts = async (child: ChildProcess): Promise<number[]> => {
	let text = '';
	for await (const chunk of child.stdout!) {
		text += String(chunk);
		if (text.endsWith('\n')) {
			break;
		}
	}

	return JSON.parse(text) as number[];
};

describe('ports of test processes', () => {
	it('are different in files that run at the same time; guards against a daemon that finds its port taken', async () => {
		const children = Array.from({length: processes}, startProcess);
		try {
			const given = await Promise.all(children.map(async child => readPorts(child)));
			const ports = given.flat();
			assert.is(ports.length, processes * portsEach);
			assert.is(new Set(ports).size, ports.length);
		} finally {
			await Promise.all(children.map(async child => {
				const exited = once(child, 'exit');
				child.stdin!.end();
				await exited;
			}));
		}
	});

	it('are given out again when everything that used them has ended; guards against a long soak that runs out of ports', async () => {
		const first = await findFreePort();
		for (let number = 0; number < 1000; number += 1) {
			resetPortAllocation();
			assert.is(await findFreePort(), first);
		}
	});
});
