import {Buffer} from 'node:buffer';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {LineShuffler} from '../line-shuffler.js';
import {createSeededRandom} from '../random.js';

const frame = (number: number): string => `{"method":"request.frame","number":${number}}`;
const heartbeat = '{"method":"heartbeat"}';
const frames = Array.from({length: 200}, (_, number) => frame(number));
// Enough further lines for every delayed frame to be passed on.
const lines = [...frames, ...Array.from({length: 10}, () => heartbeat)];

const shuffle = (chunkBytes: number): string[] => {
	const shuffler = new LineShuffler(createSeededRandom(7));
	const bytes = Buffer.from(lines.map(line => `${line}\n`).join(''));
	let text = '';
	for (let from = 0; from < bytes.length; from += chunkBytes) {
		text += shuffler.push(bytes.subarray(from, from + chunkBytes));
	}

	return text.trimEnd().split('\n');
};

describe('a line shuffler', () => {
	it('loses no frame, repeats some and changes their order; guards against a history that crosses nothing', () => {
		const passed = shuffle(1000).filter(line => line !== heartbeat);
		assert.equal(new Set(passed), new Set(frames));
		assert.ok(passed.length > frames.length, 'no frame was repeated');
		const firsts = frames.map(line => passed.indexOf(line));
		assert.ok(firsts.some((place, index) => index > 0 && place < firsts[index - 1]!), 'no frame was overtaken');
	});

	it('does not depend on where chunks end; guards against a run that differs by the timing of the network', () => {
		assert.equal(shuffle(7), shuffle(1000));
	});
});
