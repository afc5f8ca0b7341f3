import {type Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {assert} from 'chai';

const moduleUrl = new URL('../lib/log-output.js', import.meta.url).href;
const batches = 100;
const batchChars = 16 * 1024;
const maxQueuedBytes = 64 * 1024;

/** Writes numbered batches to standard output, and then reports to standard error that it was not blocked. */
const program = String.raw`
	import {createLogOutput} from '${moduleUrl}';
	const output = createLogOutput({fd: 1, maxQueuedBytes: ${maxQueuedBytes}});
	const pause = Number(process.argv[1]);
	for (let index = 0; index < ${batches}; index++) {
		output.write(String(index).padEnd(${batchChars - 1}, '.') + '\n');
		if (pause > 0) {
			await new Promise(resolve => setTimeout(resolve, pause));
		}
	}

	output.flush();
	process.stderr.write('written');
	process.stdin.once('data', () => process.exit(0));
`;

const start = (pauseMs: number): ChildProcess => spawn(process.execPath, ['--input-type=module', '--eval', program, String(pauseMs)], {stdio: 'pipe'});

const textOf = (stream: NonNullable<ChildProcess['stdout']>): (() => string) => {
	let text = '';
	stream.on('data', (chunk: Buffer) => {
		text += chunk.toString();
	});
	return () => text;
};

describe('createLogOutput on a pipe', () => {
	it('writes all lines in order to a reader that keeps up', async () => {
		// Guards against lines that are lost or reordered between the writes of the event loop.
		const child = start(1);
		const text = textOf(child.stdout!);
		await once(child.stderr!, 'data');
		child.stdin!.write('end');
		await once(child, 'close');
		const numbers = text().split('\n').filter(line => line !== '').map(line => Number.parseInt(line, 10));
		assert.deepEqual(numbers, Array.from({length: batches}, (_item, index) => index));
	});

	it('drops lines for a reader that has stopped, and doesn\'t wait for it', async () => {
		// Guards against a process that is blocked, or whose memory grows, because nobody reads its log.
		const child = start(0);
		await once(child.stderr!, 'data');
		const text = textOf(child.stdout!);
		child.stdin!.write('end');
		await once(child, 'close');
		assert.isBelow(text().length, batches * batchChars);
	});
});
