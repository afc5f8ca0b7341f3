/**
 * Exits with 0 if `node_modules` of the working directory holds what the bundle needs, as package-lock.json names it.
 *
 * Its age doesn't say so: an install can be interrupted, and folders are carried over from machines of another
 * architecture or with another lock file. Packages that only tests need don't count.
 */
import {existsSync, readFileSync, realpathSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';

const program = 'packages/entry';
const buildPackages = ['esbuild', 'undici'];

/** Npm writes this file at the end of an install. */
const installRecord = 'node_modules/.package-lock.json';

class ModulesError extends Error {
	name = 'ModulesError';
}

const readJson = file => JSON.parse(readFileSync(file, 'utf8'));

/** The place at which the runtime finds a package that is imported from this folder. */
function resolvePlace(packages, name, folder) {
	for (let parent = folder; parent !== '.'; parent = path.dirname(parent)) {
		const place = `${parent}/node_modules/${name}`;
		if (packages[place] !== undefined) {
			return place;
		}
	}

	return `node_modules/${name}`;
}

/** Checks one package, and returns the folder whose dependencies count. */
function checkPackage(place, {version, link, resolved}) {
	if (link) {
		if (!existsSync(place) || realpathSync(place) !== realpathSync(resolved)) {
			throw new ModulesError(`${place} doesn't link to ${resolved}.`);
		}

		return resolved;
	}

	const file = `${place}/package.json`;
	const installed = existsSync(file) ? readJson(file).version : 'missing';
	if (installed !== version) {
		throw new ModulesError(`${place} is ${installed}, expected ${version}.`);
	}

	return place;
}

/** Checks all packages that are reached without optional dependencies, which the program does without. */
function checkPackages(packages) {
	const places = new Set(buildPackages.map(name => resolvePlace(packages, name, '.')));
	const addDependencies = folder => {
		for (const name of Object.keys(packages[folder].dependencies ?? {})) {
			places.add(resolvePlace(packages, name, folder));
		}
	};

	addDependencies(program);
	for (const place of places) {
		const entry = packages[place];
		if (entry === undefined) {
			throw new ModulesError(`${place} isn't in package-lock.json.`);
		}

		addDependencies(checkPackage(place, entry));
	}
}

try {
	if (!existsSync(installRecord)) {
		throw new ModulesError(`${installRecord} is missing.`);
	}

	checkPackages(readJson('package-lock.json').packages);
	// Fails without the executable of this architecture.
	createRequire(path.resolve('package.json'))('esbuild').transformSync('');
} catch (error) {
	process.stderr.write(`node_modules doesn't fit: ${error.message}\n`);
	process.exitCode = 1;
}
