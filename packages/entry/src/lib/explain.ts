/** Collects what the logs of all daemons hold about one request. */

import {isRequestEnd, type LogLine, parseLogLine} from './log-line.js';

const omittedFields = new Set(['vm', 'requestId', 'logLevel', 'dataCentre']);

function formatLine({message, context}: LogLine): string {
	const fields = Object.entries(context)
		.filter(([name]) => !omittedFields.has(name))
		.map(([name, value]) => `${name}=${String(value)}`);
	const {vm = '?'} = context;
	return `${String(vm)} ${message} ${fields.join(' ')}`.trim();
}

/** Time before a request from which lines about its endpoints are included, in milliseconds. */
const lookbackMs = 5000;

/**
 * Returns the lines about a request in order of time, together with lines from shortly before
 * about the endpoints that it was sent to, and earlier lines about requests with the same
 * content. Empty if no line is about the request.
 *
 * @param lines Log lines of any number of daemons, in any order.
 */
export function explainRequest(lines: Iterable<string>, requestId: string): string[] {
	const all: LogLine[] = [];
	for (const text of lines) {
		const line = parseLogLine(text);
		if (line !== undefined) {
			all.push(line);
		}
	}

	all.sort((a, b) => a.time - b.time);
	const requestLines = all.filter(line => line.context.requestId === requestId);
	if (requestLines.length === 0) {
		return [];
	}

	const endpoints = new Set(requestLines.map(line => line.context.endpoint).filter(Boolean));
	const end = requestLines.at(-1)!.time;
	const begin = Math.min(...requestLines.map(line => line.time - Number(line.context.ms ?? 0)));
	const digests = new Set(requestLines.map(line => line.context.digest).filter(Boolean));
	const hasSameContent = (line: LogLine): boolean => digests.has(line.context.digest) && !isRequestEnd(line);
	const relatedLines = all.filter(line => line.context.requestId === requestId
		|| (hasSameContent(line) && line.time <= end)
		|| (line.context.requestId === undefined && endpoints.has(line.context.endpoint) && line.time >= begin - lookbackMs && line.time <= end));
	return relatedLines.map(line => `${line.time - begin} ms  ${formatLine(line)}`);
}
