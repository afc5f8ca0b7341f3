/**
 * Starts the bundled entry daemon with V8's compiled code from the build.
 *
 * A daemon that was killed pays its start in full on a small share of a core:
 * parsing the bundle anew took 0.13 of 0.45 s. Without the file, or with one that
 * is damaged or of another program or runtime, V8 compiles as usual.
 */
'use strict';

const {Buffer} = require('node:buffer');
const fs = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

/**
 * The program's own handlers get these signals once it is loaded; without a listener they would end the process.
 * Modules that take time to load are required later.
 */
for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM', 'SIGQUIT', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM', 'SIGIO', 'SIGPWR']) {
	process.on(signal, () => undefined);
}

const program = path.join(__dirname, 'hickorywalk-entry.cjs');
const codeFile = `${program}.code`;

/** The build runs the program with this variable to write the compiled code of all that a start needs. */
const buildVariable = 'HICKORYWALK_WRITE_CODE';

/** For how long the build lets the program run, in milliseconds: it listens after some 300. */
const buildRunMs = 1500;

/** Size of the header of the code file, in bytes; a multiple of V8's alignment, as V8 copies what isn't aligned. */
const headerBytes = 512;
const stderrFd = 2;

/**
 * What compiled code depends on, as text of fixed length. V8 itself compares its version, its
 * flags and the source's length, but runs code with altered bytes, up to a segmentation fault.
 */
function composeHeader(source, code) {
	const {crc32} = require('node:zlib');
	const text = JSON.stringify({
		node: process.version,
		v8: process.versions.v8,
		architecture: process.arch,
		options: process.execArgv,
		source: crc32(source),
		code: crc32(code),
	});
	return Buffer.from(text.padEnd(headerBytes, ' '));
}

/** Reads the compiled code of a source; `undefined` if the file holds none that is whole and was written for this source and runtime. */
function readCode(source) {
	let content;
	try {
		content = fs.readFileSync(codeFile);
	} catch {
		// Nothing is lost but time: V8 compiles the source.
		return undefined;
	}

	const code = content.subarray(headerBytes);
	return content.subarray(0, headerBytes).equals(composeHeader(source, code)) ? code : undefined;
}

/** Replaces the file as a whole, so that a build which is interrupted leaves no part of one. */
function writeCode(source, code) {
	const temporaryFile = `${codeFile}.next`;
	fs.writeFileSync(temporaryFile, Buffer.concat([composeHeader(source, code), code]));
	fs.renameSync(temporaryFile, codeFile);
}

function warn(text) {
	try {
		fs.writeSync(stderrFd, `${text}\n`);
	} catch {
		// The program starts all the same if nobody reads standard error.
	}
}

const isBuild = process.env[buildVariable] !== undefined;
const source = fs.readFileSync(program);
const cachedData = isBuild ? undefined : readCode(source);
const script = new Script(Module.wrap(source.latin1Slice()), {filename: program, cachedData});
if (isBuild) {
	process.on('exit', () => {
		writeCode(source, script.createCachedData());
	});
	setTimeout(() => {
		process.exit(0);
	}, buildRunMs);
} else if (cachedData === undefined || script.cachedDataRejected) {
	warn('The compiled code is missing, damaged or of another program or runtime; the source is compiled.');
}

const loaded = new Module(program);
loaded.filename = program;
loaded.paths = module.paths;
script.runInThisContext()(loaded.exports, Module.createRequire(program), loaded, program, __dirname);
