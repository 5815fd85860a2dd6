#!/usr/bin/env node
import process from 'node:process';
import {main} from '../dist/index.js';

await main(process.argv.slice(2), new Date().toISOString().slice(0, 10));
