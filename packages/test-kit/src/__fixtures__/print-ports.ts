/**
 * Prints ports as a test file would take them, then stays until it is ended, as a test file that is still running.
 */
import process from 'node:process';
import {findFreePort} from '../index.js';

const ports: number[] = [];
for (let count = Number(process.argv[2]); count > 0; count -= 1) {
	ports.push(await findFreePort());
}

console.log(JSON.stringify(ports));
process.stdin.resume();
