/**
 * Explains requests from log files. `hickorywalk-explain ID [FILE...]` prints the log lines
 * about one request, `hickorywalk-explain --day [FILE...]` statistics of all requests. Without
 * files, lines are read from standard input.
 */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {explainDay} from './lib/explain-day.js';
import {explainRequest} from './lib/explain.js';

const usage = 'Usage: hickorywalk-explain (ID | --day) [FILE...]\nReads log lines from standard input if no file is given.\n';
const exitCodeUsage = 2;
const exitCodeNoMatch = 1;

async function readLines(files: readonly string[]): Promise<string[]> {
	const lines: string[] = [];
	for (const input of files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file))) {
		for await (const text of createInterface({input})) {
			lines.push(text);
		}
	}

	return lines;
}

/** Without `requestId`, all requests are summarized. */
type Options = {requestId: string | undefined; files: string[]};

/** Returns `undefined` if the command line is invalid. */
function readOptions(): Options | undefined {
	try {
		const {values, positionals} = parseArgs({options: {day: {type: 'boolean', default: false}}, allowPositionals: true});
		if (values.day) {
			return {requestId: undefined, files: positionals};
		}

		const [requestId, ...files] = positionals;
		return requestId === undefined ? undefined : {requestId, files};
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		return undefined;
	}
}

const options = readOptions();
if (options === undefined) {
	process.stderr.write(usage);
	process.exit(exitCodeUsage);
}

const {requestId, files} = options;
const lines = await readLines(files);
const report = requestId === undefined ? explainDay(lines) : explainRequest(lines, requestId);
if (report.length === 0) {
	process.stderr.write(requestId === undefined ? 'No log line about a request found.\n' : `No log line about request ${requestId} found.\n`);
	process.exit(exitCodeNoMatch);
}

process.stdout.write(`${report.join('\n')}\n`);
