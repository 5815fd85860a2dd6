/**
 * The version of the command, read from the package so that it is written in one place.
 */
import {readFileSync} from 'node:fs';

const packageFile = new URL('../package.json', import.meta.url);

/** Version of the package `hawthorncleat`. */
export const packageVersion = (JSON.parse(readFileSync(packageFile, 'utf8')) as {version: string}).version;
