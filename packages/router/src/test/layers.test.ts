import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';

const library = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../src/lib');

/** For each folder of the library, the folders that its files import. */
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

/** Folders that a folder reaches by imports, itself only when there is a circle. */
function reachedFrom(folder: string, imports: ReadonlyMap<string, ReadonlySet<string>>): Set<string> {
	const reached = new Set<string>();
	const open = [folder];
	while (open.length > 0) {
		for (const target of imports.get(open.pop()!) ?? []) {
			if (!reached.has(target)) {
				reached.add(target);
				open.push(target);
			}
		}
	}

	return reached;
}

describe('the folders of the library', () => {
	it('depend on each other one way', () => {
		// Types count: a part that needs the types of one above can't be read, or
		// tested, without it.
		const imports = readImports();
		assert.isAbove(imports.size, 20);
		const circular = [...imports.keys()].filter(folder => reachedFrom(folder, imports).has(folder));
		assert.deepEqual(circular, []);
	});
});
