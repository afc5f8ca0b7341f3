import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
const read = (file: string): string => readFileSync(path.join(root, file), 'utf8');

describe('the deploy file', () => {
	it('runs the program with the options that its compiled code was made for', () => {
		// V8 discards compiled code that was made under other options. Nothing
		// fails then; a killed daemon is away for a third longer, on each restart.
		const [, run] = /^run = "node (.*) target\/launch\.cjs --metrics-port \d+"$/mv.exec(read('deploy/system.toml'))!;
		const [, listed] = /^const runtimeOptions = \[(.*)\];$/mv.exec(read('deploy/bundle.js'))!;
		assert.deepEqual(listed.split(', ').map(option => option.slice(1, -1)), run.split(' '));
	});

	it('says of metrics the port that the program is given', () => {
		const text = read('deploy/system.toml');
		const [, given] = /--metrics-port (\d+)/v.exec(text)!;
		assert.include(text, `metrics = "${given}/metrics"`);
	});
});
