#!/usr/bin/env node
/**
 * Starts the command line of the built package and prints what it could not handle.
 */
import process from 'node:process';

try {
	const {runMain} = await import('../dist/index.js');
	await runMain(code => process.exit(code));
} catch (error) {
	console.error(error);
	process.exitCode = 1;
}
