/** Reads and writes traces: NDJSON, compressed with gzip when the file name ends in `.gz`. */
import {readFile, writeFile} from 'node:fs/promises';
import {gunzipSync, gzipSync} from 'node:zlib';
import {TraceInvalidError} from './trace-errors.js';
import {
	traceLayout, traceLineSchema, type Trace, type TraceLine,
} from './trace-format.js';

const parseLine = (text: string, where: string): TraceLine => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new TraceInvalidError(`${where} is not JSON. Write one JSON object per line.`, {cause: error});
	}

	const parsed = traceLineSchema.safeParse(value);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		throw new TraceInvalidError(`${where}, field "${issue.path.join('.')}": ${issue.message}.`, {cause: parsed.error});
	}

	return parsed.data;
};

/**
 * Parses the text of a trace.
 * @throws {TraceInvalidError} when a line doesn't match the format; the message gives its number.
 */
export const parseTrace = (text: string, name: string): Trace => {
	const trace: Partial<Trace> & Pick<Trace, 'requests' | 'faults'> = {requests: [], faults: []};
	for (const [index, line] of text.split('\n').entries()) {
		if (line === '') {
			continue;
		}

		const parsed = parseLine(line, `Line ${index + 1} of ${name}`);
		if (parsed.kind === 'header') {
			trace.header = parsed;
		} else if (parsed.kind === 'request') {
			trace.requests.push(parsed);
		} else {
			trace.faults.push(parsed);
		}
	}

	const {header, requests, faults} = trace;
	if (header === undefined) {
		throw new TraceInvalidError(`${name} has no header line. Start the trace with one.`);
	}

	if (header.layout > traceLayout) {
		throw new TraceInvalidError(`${name} has layout ${header.layout}; this build reads layouts up to ${traceLayout}. Update hickorywalk.`);
	}

	requests.sort((a, b) => a.atMs - b.atMs);
	faults.sort((a, b) => a.atMs - b.atMs);
	return {header, requests, faults};
};

/** Formats a trace as text, the lines after the header sorted by time. */
export const formatTrace = (trace: Trace): string => {
	const lines = [...trace.faults, ...trace.requests].toSorted((a, b) => a.atMs - b.atMs);
	return [trace.header, ...lines].map(line => `${JSON.stringify(line)}\n`).join('');
};

/**
 * Reads a trace file.
 * @throws {TraceInvalidError} when the file is not a trace.
 */
export const readTrace = async (path: string): Promise<Trace> => {
	const content = await readFile(path);
	const text = path.endsWith('.gz') ? gunzipSync(content) : content;
	return parseTrace(text.toString('utf8'), path);
};

/** Writes a trace file. */
export const writeTrace = async (path: string, trace: Trace): Promise<void> => {
	const text = formatTrace(trace);
	await writeFile(path, path.endsWith('.gz') ? gzipSync(text, {level: 9}) : text);
};
