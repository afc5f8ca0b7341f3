import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';
import {assert} from 'chai';

const urlOf = (name: string): string => new URL(`../lib/${name}.js`, import.meta.url).href;

/** Throws two errors, and then writes how many were counted. */
const programThatHasStarted = (hasStarted: boolean): string => `
	import {createSilentLog} from 'hickorywalk/observability.js';
	import {writeError} from '${urlOf('standard-error')}';
	import {handleUncaughtExceptions} from '${urlOf('uncaught-exceptions')}';
	const count = handleUncaughtExceptions({log: createSilentLog(), hasStarted: () => ${hasStarted}, writeError, exit: process.exit});
	setTimeout(() => {
		throw null;
	}, 1);
	Promise.reject(new Error('Rejected by a test.'));
	setTimeout(() => {
		process.stdout.write(String(count()));
	}, 200);
`;

describe('an exception that nothing catches', () => {
	const run = async (hasStarted: boolean): Promise<[number | null, string]> => {
		const fd = openSync('/dev/full', 'w');
		const child = spawn(process.execPath, ['--input-type=module', '--eval', programThatHasStarted(hasStarted)], {cwd: new URL('.', import.meta.url), stdio: ['ignore', 'pipe', fd]});
		closeSync(fd);
		let output = '';
		child.stdout!.on('data', (chunk: Buffer) => {
			output += chunk.toString('utf8');
		});
		const [code] = await once(child, 'close') as [number | null];
		return [code, output];
	};

	it('is counted by a daemon, which goes on, also if standard error can\'t be written', async () => {
		// Guards against a report of an exception that raises the next one.
		assert.deepEqual(await run(true), [0, '2']);
	});

	it('ends a start that may never be complete', async () => {
		// Guards against a process that lives and doesn't listen.
		assert.deepEqual(await run(false), [1, '']);
	});
});
