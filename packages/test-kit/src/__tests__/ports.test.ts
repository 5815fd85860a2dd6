import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import * as assert from 'uvu/assert';
import {
	describe, findFreePort, it, resetPortAllocation,
} from '../index.js';

const printPortsPath = fileURLToPath(new URL('../__fixtures__/print-ports.ts', import.meta.url));
const processCount = 4;
const portsPerProcess = 300;

const startProcess = (): ChildProcess => spawn(
	process.execPath,
	['--import', 'tsx', '--conditions=source', printPortsPath, String(portsPerProcess)],
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
	it('differ between test files that run at the same time; guards against a daemon whose port is already in use', async () => {
		const children = Array.from({length: processCount}, startProcess);
		try {
			const portsByProcess = await Promise.all(children.map(async child => readPorts(child)));
			const ports = portsByProcess.flat();
			assert.is(ports.length, processCount * portsPerProcess);
			assert.is(new Set(ports).size, ports.length);
		} finally {
			await Promise.all(children.map(async child => {
				const exited = once(child, 'exit');
				child.stdin!.end();
				await exited;
			}));
		}
	});

	it('are allocated again after a reset; guards against a long soak that runs out of ports', async () => {
		const first = await findFreePort();
		for (let number = 0; number < 1000; number += 1) {
			resetPortAllocation();
			assert.is(await findFreePort(), first);
		}
	});
});
