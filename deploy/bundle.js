/** Bundles the entry daemon into one file, so that a killed process is back soon. */
import {build} from 'esbuild';

await build({
	entryPoints: ['packages/entry/src/hickorywalk-entry.ts'],
	outfile: 'target/hickorywalk-entry.mjs',
	bundle: true,
	minifySyntax: true,
	minifyWhitespace: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['source'],
	logLevel: 'warning',
	// Bundled CommonJS modules ask for the runtime's own modules by `require`.
	banner: {js: 'import {createRequire as hostRequire} from \'node:module\'; const require = hostRequire(import.meta.url);'},
});
