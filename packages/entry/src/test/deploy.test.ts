import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
const read = (file: string): string => readFileSync(path.join(root, file), 'utf8');

describe('the deploy file', () => {
	it('runs the program with the options that its code cache was built with', () => {
		// V8 silently rejects a code cache that was built under other options. Each
		// restart of a killed daemon then takes a third longer.
		const [, run] = /^run = "node (.*) target\/launch\.cjs --metrics-port \d+"$/mv.exec(read('deploy/system.toml'))!;
		const [, listed] = /^const runtimeOptions = \[(.*)\];$/mv.exec(read('deploy/bundle.js'))!;
		assert.deepEqual(listed.split(', ').map(option => option.slice(1, -1)), run.split(' '));
	});

	it('starts the program without optimizing compilers that a small VM has no time for', () => {
		// Guards against a third of a start's processor time on background compilation.
		const text = read('deploy/system.toml');
		assert.match(text, /^run = "node .*--liftoff-only --interrupt-budget=\d+ target/mv);
	});

	it('declares the metrics port that the program is started with', () => {
		const text = read('deploy/system.toml');
		const [, given] = /--metrics-port (\d+)/v.exec(text)!;
		assert.include(text, `metrics = "${given}/metrics"`);
	});
});
