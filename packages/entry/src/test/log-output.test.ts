import {type Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {assert} from 'chai';

const moduleUrl = new URL('../lib/log-output.js', import.meta.url).href;
const exitUrl = new URL('../lib/exit-after-flush.js', import.meta.url).href;
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

/** Writes numbered batches while at most as many as the queue holds have not been read; the reader confirms each. */
const pacedProgram = String.raw`
	import {createLogOutput} from '${moduleUrl}';
	const output = createLogOutput({fd: 1, maxQueuedBytes: ${maxQueuedBytes}});
	let read = 0;
	let wake = () => {};
	process.stdin.on('data', confirmed => {
		read += confirmed.length;
		wake();
	});
	for (let index = 0; index < ${batches}; index++) {
		output.write(String(index).padEnd(${batchChars - 1}, '.') + '\n');
		while (index + 1 - read >= ${maxQueuedBytes / batchChars}) {
			await new Promise(resolve => {
				wake = resolve;
			});
		}
	}

	output.flush();
	process.stdin.unref();
`;

/** Writes more than a pipe holds and exits. */
const fullPipeProgram = String.raw`
	import {createLogOutput} from '${moduleUrl}';
	const output = createLogOutput({fd: 1, maxQueuedBytes: ${batches * batchChars}});
	output.write('.'.repeat(${maxQueuedBytes * 2}));
	output.write('last\n');
	process.stderr.write('written');
	await output.flush();
	process.exit(0);
`;

/** Writes two lines and exits. */
const lateProgram = String.raw`
	import {createLogOutput} from '${moduleUrl}';
	const output = createLogOutput({fd: 1, maxQueuedBytes: ${maxQueuedBytes}});
	output.write('first\n');
	output.write('second\n');
	await output.flush();
	process.exit(0);
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
		const child = spawn(process.execPath, ['--input-type=module', '--eval', pacedProgram], {stdio: 'pipe'});
		// The program may have ended when the last lines are confirmed.
		child.stdin.on('error', () => undefined);
		const lines: string[] = [];
		createInterface({input: child.stdout}).on('line', line => {
			lines.push(line);
			child.stdin.write('.');
		});
		await once(child, 'close');
		assert.deepEqual(lines.map(line => Number.parseInt(line, 10)), Array.from({length: batches}, (_item, index) => index));
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

/** Writes more than a terminal holds and exits. */
const blockedProgram = String.raw`
	import {createLogOutput} from '${moduleUrl}';
	import {exitAfterFlush} from '${exitUrl}';
	const output = createLogOutput({fd: 1, maxQueuedBytes: ${batches * batchChars}});
	output.write('.\n'.repeat(${maxQueuedBytes * 2}));
	await exitAfterFlush(output, 0);
`;

describe('exitAfterFlush', () => {
	it('ends a process whose write to a terminal is blocked', async () => {
		// Guards against an exit that waits for a write without end: the runtime joins its thread pool.
		const terminal = openSync('/dev/ptmx', 'r+');
		const child = spawn(process.execPath, ['--input-type=module', '--eval', blockedProgram], {stdio: ['ignore', terminal, 'inherit']});
		const end = await Promise.race([once(child, 'exit'), sleep(10_000, 'hangs')]);
		child.kill('SIGKILL');
		closeSync(terminal);
		assert.deepEqual(end, [null, 'SIGKILL']);
	});
});

describe('createLogOutput on a pipe that is full', () => {
	it('has written all lines once it is flushed, if its reader goes on soon', async () => {
		// Guards against the loss of the last lines, which say how a process ended.
		const child = spawn(process.execPath, ['--input-type=module', '--eval', fullPipeProgram], {stdio: ['ignore', 'pipe', 'pipe']});
		await once(child.stderr, 'data');
		const text = textOf(child.stdout);
		await once(child, 'close');
		assert.isTrue(text().endsWith('last\n'));
	});
});

describe('createLogOutput on a file', () => {
	it('goes on and can be flushed while the disk is full', async () => {
		// Guards against a process that ends by the error of a write, or hangs when it flushes its log at its end.
		const fd = openSync('/dev/full', 'w');
		const child = spawn(process.execPath, ['--input-type=module', '--eval', program, '1'], {stdio: ['pipe', fd, 'pipe']});
		closeSync(fd);
		const [first] = await Promise.race([once(child.stderr!, 'data'), sleep(10_000, ['nothing'])]) as [unknown];
		child.stdin!.write('end');
		const [code] = await Promise.race([once(child, 'exit'), sleep(10_000, ['hangs'])]) as [unknown];
		child.kill('SIGKILL');
		assert.deepEqual([String(first), code], ['written', 0]);
	});

	it('can be flushed if the disk has been full since the last lines', async () => {
		// Guards against an exit that hangs, since no write has failed yet when it flushes the log.
		const fd = openSync('/dev/full', 'w');
		const child = spawn(process.execPath, ['--input-type=module', '--eval', lateProgram], {stdio: ['ignore', fd, 'inherit']});
		closeSync(fd);
		const [code] = await Promise.race([once(child, 'exit'), sleep(5000, ['hangs'])]) as [unknown];
		child.kill('SIGKILL');
		assert.equal(code, 0);
	});

	it('has written all lines once it is flushed', async () => {
		// Guards against the loss of the last lines, which say how a process ended.
		const folder = mkdtempSync(path.join(tmpdir(), 'hickorywalk-log-'));
		const file = path.join(folder, 'log');
		const fd = openSync(file, 'w');
		const child = spawn(process.execPath, ['--input-type=module', '--eval', lateProgram], {stdio: ['ignore', fd, 'inherit']});
		closeSync(fd);
		await once(child, 'exit');
		const lines = readFileSync(file, 'utf8');
		rmSync(folder, {recursive: true});
		assert.equal(lines, 'first\nsecond\n');
	});
});
