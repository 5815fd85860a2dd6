#!/usr/bin/env node
/**
 * Starts the measurements of the built package.
 */
import process from 'node:process';

const {runMeasure} = await import('../dist/index.js');
process.exitCode = await runMeasure(process.argv.slice(2));
