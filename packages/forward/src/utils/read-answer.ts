/** Reads the body of an answer whose limit of time follows its progress. */
import {Buffer} from 'node:buffer';
import type {ProgressLimit} from './time-limit.js';

export const readAnswer = async (body: AsyncIterable<Buffer>, limit: Pick<ProgressLimit, 'recordProgress'>): Promise<Buffer> => {
	const parts: Buffer[] = [];
	for await (const part of body) {
		limit.recordProgress();
		parts.push(part);
	}

	return Buffer.concat(parts);
};
