/**
 * Brings an operator's input onto a version that somebody else changed, without
 * losing any of it: what only one side changed is taken, what both changed
 * stays as the operator has it and is named.
 */

const isObject = value => typeof value === 'object' && value !== null && !Array.isArray(value);

const isEqual = (a, b) => JSON.stringify(a) === JSON.stringify(b);

/** Lists of named things are compared by name, so that an insertion moves nothing else. */
const labelOf = item => isObject(item) ? item.name ?? item.id : undefined;

function byLabel(list) {
	const labels = Array.isArray(list) ? list.map(item => labelOf(item)) : [undefined];
	if (labels.includes(undefined) || new Set(labels).size < labels.length) {
		return undefined;
	}

	return new Map(list.map((item, index) => [labels[index], item]));
}

const entriesOf = value => isObject(value) ? new Map(Object.entries(value)) : byLabel(value);

/**
 * @param {unknown} base What both sides started from.
 * @param {unknown} theirs What is accepted now.
 * @param {unknown} mine What the operator has typed.
 * @returns {{value: unknown, conflicts: string[]}} Places that both sides changed differently, by path.
 */
export function mergeDocuments(base, theirs, mine, path = '') {
	if (isEqual(mine, base) || isEqual(mine, theirs)) {
		return {value: theirs, conflicts: []};
	}

	if (isEqual(theirs, base)) {
		return {value: mine, conflicts: []};
	}

	const sides = [base, theirs, mine].map(value => entriesOf(value));
	if (sides.includes(undefined) || Array.isArray(theirs) !== Array.isArray(mine)) {
		return {value: mine, conflicts: [path === '' ? '(document)' : path]};
	}

	return mergeEntries(sides, Array.isArray(mine), path);
}

function mergeEntries([base, theirs, mine], isList, path) {
	const merged = new Map();
	const conflicts = [];
	for (const key of new Set([...theirs.keys(), ...mine.keys()])) {
		const inner = isList ? `${path}[${key}]` : `${path}${path === '' ? '' : '.'}${key}`;
		const result = mergeDocuments(base.get(key), theirs.get(key), mine.get(key), inner);
		conflicts.push(...result.conflicts);
		if (result.value !== undefined) {
			merged.set(key, result.value);
		}
	}

	return {value: isList ? [...merged.values()] : Object.fromEntries(merged), conflicts};
}
