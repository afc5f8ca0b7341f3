/**
 * Bundles the entry daemon into one file with its compiled code, so that a killed process is back soon.
 * The first argument names the folder for both, by default `target`.
 */
import {execFileSync} from 'node:child_process';
import {
	copyFileSync, mkdirSync, renameSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/**
 * The runtime's options in deploy/system.toml. V8 discards code that was compiled under others.
 *
 * A daemon on a small share of a core runs too little code for optimizing compilers to pay: the HTTP parser's
 * WebAssembly alone took 0.2 s of each start, on threads that compete with the requests. Bounding the young
 * generation leaves memory for what callers and endpoints make the process hold.
 */
const runtimeOptions = ['--max-old-space-size=120', '--max-semi-space-size=4', '--liftoff-only', '--interrupt-budget=1000000'];

const folder = process.argv[2] ?? 'target';
const program = path.join(folder, 'hickorywalk-entry.cjs');
const launcher = path.join(folder, 'launch.cjs');
const sampleSettings = path.join(folder, 'sample-settings.json');

/** After this time the program that should write its compiled code is ended, in milliseconds. */
const buildTimeoutMs = 60_000;

/** Replaces a file as a whole, so that a build which is interrupted leaves the earlier one. */
function replaceFile(file, write) {
	const temporaryFile = `${file}.next`;
	write(temporaryFile);
	renameSync(temporaryFile, file);
}

const slimUndici = {
	name: 'slim-undici',
	setup(hooks) {
		// The bundler's own kind of expression, which knows no flags.
		hooks.onResolve({filter: /^undici$/}, () => ({path: path.resolve('deploy/undici-client.cjs')})); // eslint-disable-line require-unicode-regexp
	},
};

const {outputFiles: [bundle]} = await build({
	entryPoints: ['packages/entry/src/hickorywalk-entry.ts'],
	outfile: program,
	write: false,
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
mkdirSync(folder, {recursive: true});
rmSync(`${program}.code`, {force: true});
replaceFile(program, file => {
	writeFileSync(file, bundle.contents);
});
replaceFile(launcher, file => {
	copyFileSync('deploy/launch.cjs', file);
});

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
try {
	execFileSync(process.execPath, [...runtimeOptions, launcher], {
		env: {...process.env, HICKORYWALK_BOOT: sampleSettings, HICKORYWALK_WRITE_CODE: '1'},
		stdio: ['ignore', 'ignore', 'inherit'],
		timeout: buildTimeoutMs,
		killSignal: 'SIGKILL',
	});
} catch (error) {
	// The launcher compiles what is missing.
	process.stderr.write(`Compiled code is missing or incomplete: ${error.message}\n`);
}
