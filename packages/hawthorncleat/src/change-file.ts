/**
 * Reads change files in YAML or JSON (which is YAML too) and finds the line and column of a place in them.
 */
import type {ConfigFinding} from '@hawthorncleat/core';
import {
	isCollection, isMap, isNode, isScalar, LineCounter, parseDocument, type Document,
} from 'yaml';

/** Finding with its position in the file. */
export type FileFinding = {
	readonly file: string;
	readonly line: number;
	readonly column: number;
	/** Object and field, empty for a finding of the syntax. */
	readonly subject: string;
	readonly value?: unknown;
	readonly problem: string;
};

/** A parsed file, or the findings of its syntax. */
export type ChangeFile
	= | {
		readonly ok: true;
		readonly content: unknown;
		locate(finding: ConfigFinding): FileFinding;
	}
	| {readonly ok: false; readonly findings: readonly FileFinding[]};

const stepInto = (node: unknown, step: string): unknown => {
	if (isMap(node)) {
		return node.items.find(({key}) => isScalar(key) && String(key.value) === step)?.value ?? undefined;
	}

	return isCollection(node) ? node.get(Number(step), true) : undefined;
};

/** Offset of the place, or of the closest part around it when the place itself is missing from the file. */
const findOffset = (document: Document.Parsed, place: string): number => {
	let node: unknown = document.contents;
	let offset = 0;
	for (const step of place.split('/')) {
		node = step === '' ? node : stepInto(node, step);
		if (!isNode(node)) {
			break;
		}

		offset = node.range?.[0] ?? offset;
	}

	return offset;
};

const describeSubject = ({kind, name, field}: ConfigFinding): string =>
	[kind, name, field].filter(part => part !== '').join(' ');

/** Parses the text of a file. */
export const parseChangeFile = (file: string, text: string): ChangeFile => {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	const position = (offset: number): {line: number; column: number} => {
		const {line, col: column} = lines.linePos(offset);
		return {line: Math.max(line, 1), column: Math.max(column, 1)};
	};

	if (document.errors.length > 0) {
		const findings = document.errors.map(({pos: [offset], message}) => ({
			file, ...position(offset), subject: '', problem: message.split('\n', 1)[0]!,
		}));
		return {ok: false, findings};
	}

	return {
		ok: true,
		content: document.toJS(),
		locate: finding => ({
			file,
			...position(findOffset(document, finding.place)),
			subject: describeSubject(finding),
			value: finding.value,
			problem: finding.problem,
		}),
	};
};

/** Values longer than this are cut, because a finding is one line. */
const maxValueLength = 100;

const formatValue = (value: unknown): string => {
	const text = value === undefined ? '' : JSON.stringify(value);
	const shown = text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : text;
	return shown === '' ? '' : ` ${shown}`;
};

/** One finding on one line, in the form that editors recognise. */
export const formatFileFinding = ({file, line, column, subject, value, problem}: FileFinding): string =>
	`${file}:${line}:${column}: ${subject}${formatValue(value)}${subject === '' ? '' : ': '}${problem}`;
