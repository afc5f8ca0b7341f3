/**
 * Bundles the entry daemon into one file with its compiled code, so that a killed process is back soon.
 * The first argument names the folder for both, by default `target`.
 */
import {execFileSync} from 'node:child_process';
import {
	copyFileSync, mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync,
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
const program = 'hickorywalk-entry.cjs';
const launcher = 'launch.cjs';
const compiledCode = `${program}.code`;

/** After this time the program that should write its compiled code is ended, in milliseconds. */
const buildTimeoutMs = 60_000;

const slimUndici = {
	name: 'slim-undici',
	setup(hooks) {
		// The bundler's own kind of expression, which knows no flags.
		hooks.onResolve({filter: /^undici$/}, () => ({path: path.resolve('deploy/undici-client.cjs')})); // eslint-disable-line require-unicode-regexp
	},
};

const {outputFiles: [bundle]} = await build({
	entryPoints: ['packages/entry/src/hickorywalk-entry.ts'],
	outfile: path.join(folder, program),
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
// Of this build alone: others may run in the same folder, and a daemon may start meanwhile.
const buildFolder = mkdtempSync(path.join(folder, 'build-'));

/** Replaces the installed file as a whole. */
function install(name) {
	renameSync(path.join(buildFolder, name), path.join(folder, name));
}

/** Runs the program before a store that is not there; it ends by itself, and what it compiled is kept. */
function compileProgram() {
	const sampleSettings = path.join(buildFolder, 'sample-settings.json');
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
	execFileSync(process.execPath, [...runtimeOptions, path.join(buildFolder, launcher)], {
		env: {...process.env, HICKORYWALK_BOOT: sampleSettings, HICKORYWALK_WRITE_CODE: '1'},
		stdio: ['ignore', 'ignore', 'inherit'],
		timeout: buildTimeoutMs,
		killSignal: 'SIGKILL',
	});
}

/** Runs steps without which the program starts as well, since the launcher compiles what is missing. */
function attempt(step) {
	try {
		step();
	} catch (error) {
		process.stderr.write(`Compiled code is missing or incomplete: ${error.message}\n`);
	}
}

try {
	writeFileSync(path.join(buildFolder, program), bundle.contents);
	copyFileSync('deploy/launch.cjs', path.join(buildFolder, launcher));
	attempt(compileProgram);
	install(program);
	install(launcher);
	attempt(() => {
		install(compiledCode);
	});
} finally {
	rmSync(buildFolder, {recursive: true});
}
