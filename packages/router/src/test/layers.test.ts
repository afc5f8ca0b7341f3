import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';

const library = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../src/lib');

/** Returns, for each folder of the library, the folders that its files import. */
function readImports(): Map<string, Set<string>> {
	const imports = new Map<string, Set<string>>();
	for (const entry of readdirSync(library, {recursive: true, withFileTypes: true})) {
		if (!entry.isFile() || !entry.name.endsWith('.ts')) {
			continue;
		}

		const [folder] = path.relative(library, entry.parentPath).split(path.sep);
		const targets = imports.get(folder) ?? new Set();
		imports.set(folder, targets);
		const text = readFileSync(path.join(entry.parentPath, entry.name), 'utf8');
		for (const [, from] of text.matchAll(/from '(?<from>\.\.?\/[^']+)'/gv)) {
			const [target] = path.relative(library, path.resolve(entry.parentPath, from)).split(path.sep);
			if (target !== folder && target !== '..') {
				targets.add(target);
			}
		}
	}

	return imports;
}

/** Returns the folders that a folder imports transitively; includes the folder itself only if there is a cycle. */
function reachableFrom(folder: string, imports: ReadonlyMap<string, ReadonlySet<string>>): Set<string> {
	const reachable = new Set<string>();
	const pending = [folder];
	while (pending.length > 0) {
		for (const target of imports.get(pending.pop()!) ?? []) {
			if (!reachable.has(target)) {
				reachable.add(target);
				pending.push(target);
			}
		}
	}

	return reachable;
}

describe('the folders of the library', () => {
	it('have no circular imports', () => {
		// Includes type imports: a folder that needs the types of a higher layer can't
		// be read or tested without it.
		const imports = readImports();
		assert.isAbove(imports.size, 20);
		const circular = [...imports.keys()].filter(folder => reachableFrom(folder, imports).has(folder));
		assert.deepEqual(circular, []);
	});
});
