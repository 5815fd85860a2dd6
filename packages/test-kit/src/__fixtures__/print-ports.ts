/**
 * Stands for a test file that is still running: allocates the number of ports given as its argument, prints them as a JSON
 * array, and runs until its standard input closes.
 */
import process from 'node:process';
import {findFreePort} from '../index.js';

const ports: number[] = [];
for (let count = Number(process.argv[2]); count > 0; count -= 1) {
	ports.push(await findFreePort());
}

console.log(JSON.stringify(ports));
process.stdin.resume();
