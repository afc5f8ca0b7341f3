/** Bundles the entry daemon into one file with its compiled code, so that a killed process is back soon. */
import {execFileSync} from 'node:child_process';
import {copyFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/**
 * The runtime's options in deploy/system.toml. V8 discards code that was compiled under others.
 *
 * A daemon on a small share of a core runs too little code for optimizing compilers to pay: the HTTP parser's
 * WebAssembly alone took 0.2 s of each start, on threads that compete with the requests.
 */
const runtimeOptions = ['--max-old-space-size=120', '--liftoff-only', '--interrupt-budget=1000000'];

const launcher = 'target/launch.cjs';
const sampleSettings = 'target/sample-settings.json';

const slimUndici = {
	name: 'slim-undici',
	setup(hooks) {
		// The bundler's own kind of expression, which knows no flags.
		hooks.onResolve({filter: /^undici$/}, () => ({path: path.resolve('deploy/undici-client.cjs')})); // eslint-disable-line require-unicode-regexp
	},
};

await build({
	entryPoints: ['packages/entry/src/hickorywalk-entry.ts'],
	outfile: 'target/hickorywalk-entry.cjs',
	bundle: true,
	minifySyntax: true,
	minifyWhitespace: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// The launcher reads the file as one byte a character.
	charset: 'ascii',
	conditions: ['source'],
	logLevel: 'warning',
	plugins: [slimUndici],
});
copyFileSync('deploy/launch.cjs', launcher);

// The program starts before a store that is not there, and ends by itself; what it compiled is kept.
writeFileSync(sampleSettings, JSON.stringify({
	node: 'sample',
	role: 'entry',
	ip: '127.0.0.1',
	zone: 'a',
	listen: {front: '127.0.0.1:0', ready: '127.0.0.1:0'},
	port_range: [0, 0],
	limits: {memory_mb: 1, max_fds: 1},
	heartbeat_ms: 1,
	bounds: {
		stable_window_ms: 1, drain_ms: 1, grace_s: 1, config_ms: 1,
	},
	platform: {address: '127.0.0.1:1'},
}));
execFileSync(process.execPath, [...runtimeOptions, launcher], {
	env: {...process.env, HICKORYWALK_BOOT: sampleSettings, HICKORYWALK_WRITE_CODE: '1'},
	stdio: ['ignore', 'ignore', 'inherit'],
});
