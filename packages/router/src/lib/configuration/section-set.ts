/**
 * All sections of one version. Sets are immutable: a change creates a new set
 * that shares unchanged sections, so that replacing the current set is atomic.
 */
import {createHash} from 'node:crypto';
import {SectionCorruptError} from './configuration-errors.js';
import {type FleetDocument} from './document.js';
import {checkReferences} from './parse-document.js';
import {parseSection, type Section, splitDocument} from './section.js';

/** The sections of one version and the document that they form. */
export type SectionSet = {
	sections: ReadonlyMap<string, Section>;
	/** SHA-256 over all names and digests, in hexadecimal; empty for the set before the first version. */
	root: string;
	/** The document; its lists are sorted by name. */
	document: FleetDocument;
};

/** The difference between two sets of sections. */
export type SectionDelta = {
	/** JSON texts of new and changed sections, by name. */
	changed: ReadonlyMap<string, string>;
	/** Names of removed sections. */
	removed: readonly string[];
};

/** The set before the first version. */
export const emptySectionSet: SectionSet = {
	sections: new Map(),
	root: '',
	document: emptyDocument(),
};

/** Returns the delta from `from` to the sections of a validated document. */
export function deltaTo(from: SectionSet, document: FleetDocument): SectionDelta {
	const texts = splitDocument(document);
	const changed = new Map<string, string>();
	for (const [name, json] of texts) {
		if (from.sections.get(name)?.json !== json) {
			changed.set(name, json);
		}
	}

	return {changed, removed: [...from.sections.keys()].filter(name => !texts.has(name))};
}

/** Returns all sections of a set as a delta from the empty set. */
export function fullDelta(set: SectionSet): SectionDelta {
	const changed = new Map<string, string>();
	for (const section of set.sections.values()) {
		changed.set(section.name, section.json);
	}

	return {changed, removed: []};
}

/** Merges consecutive deltas into one. */
export function mergeDeltas(deltas: Iterable<SectionDelta>): SectionDelta {
	const changed = new Map<string, string>();
	const removed = new Set<string>();
	for (const delta of deltas) {
		for (const name of delta.removed) {
			changed.delete(name);
			removed.add(name);
		}

		for (const [name, json] of delta.changed) {
			changed.set(name, json);
			removed.delete(name);
		}
	}

	return {changed, removed: [...removed]};
}

/**
 * Applies a delta. Only changed sections are parsed; references between
 * sections are checked over the whole document.
 *
 * @param expectedRoot When given, the result must have this root.
 * @throws {SectionCorruptError} when it has another root, because a section is missing or damaged.
 */
export function applyDelta(from: SectionSet, delta: SectionDelta, expectedRoot?: string): SectionSet {
	const sections = new Map(from.sections);
	for (const name of delta.removed) {
		sections.delete(name);
	}

	for (const [name, json] of delta.changed) {
		sections.set(name, parseSection(name, json));
	}

	const ordered = [...sections.values()].toSorted((a, b) => compareNames(a.name, b.name));
	const root = rootOf(ordered);
	if (expectedRoot !== undefined && root !== expectedRoot) {
		throw new SectionCorruptError(`The sections have the digest ${root} instead of ${expectedRoot}. Fetch the whole version from another source.`);
	}

	const document = emptyDocument();
	for (const section of ordered) {
		section.addTo(document);
	}

	checkReferences(document);
	return {sections, root, document};
}

function compareNames(a: string, b: string): number {
	return a < b ? -1 : 1;
}

function rootOf(ordered: readonly Section[]): string {
	const hash = createHash('sha256');
	for (const section of ordered) {
		// Names contain no line feed and digests have a fixed length, so different lists never hash the same bytes.
		hash.update(`${section.name}\n`);
		hash.update(section.digest);
	}

	return hash.digest('hex');
}

function emptyDocument(): FleetDocument {
	return {
		layout: 1, dataCentres: [], workspaces: [], services: [], endpoints: [],
	};
}
