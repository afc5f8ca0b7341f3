/**
 * Explains what logs tell: `hickorywalk-explain ID [FILE...]` prints the story of
 * one request, `hickorywalk-explain --day [FILE...]` the sums of all; without files
 * lines come by standard input.
 */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {explainDay} from './lib/explain-day.js';
import {explainRequest} from './lib/explain.js';

const usage = 'Give the id of a request, or --day, and files with log lines unless they come by standard input.\n';
const exitUsage = 2;
const exitNothing = 1;

async function readLines(files: readonly string[]): Promise<string[]> {
	const lines: string[] = [];
	for (const input of files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file))) {
		for await (const text of createInterface({input})) {
			lines.push(text);
		}
	}

	return lines;
}

/** What is asked for: one request, or with no id a whole day. */
type Options = {requestId: string | undefined; files: string[]};

/** `undefined` when the command line makes no sense. */
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
	process.exit(exitUsage);
}

const {requestId, files} = options;
const lines = await readLines(files);
const story = requestId === undefined ? explainDay(lines) : explainRequest(lines, requestId);
if (story.length === 0) {
	process.stderr.write(requestId === undefined ? 'No line tells of a request.\n' : `No line tells of the request ${requestId}.\n`);
	process.exit(exitNothing);
}

process.stdout.write(`${story.join('\n')}\n`);
