/** Prints the story of one request: `hickorywalk-explain ID [FILE...]`, else from standard input. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {explainRequest} from './lib/explain.js';

const [requestId, ...files] = process.argv.slice(2);
if (requestId === undefined) {
	process.stderr.write('Give the id of a request, and files with log lines unless they come by standard input.\n');
	process.exit(2);
}

const lines: string[] = [];
for (const input of files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file))) {
	for await (const text of createInterface({input})) {
		lines.push(text);
	}
}

const story = explainRequest(lines, requestId);
if (story.length === 0) {
	process.stderr.write(`No line tells of the request ${requestId}.\n`);
	process.exit(1);
}

process.stdout.write(`${story.join('\n')}\n`);
