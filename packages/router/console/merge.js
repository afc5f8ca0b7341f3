/**
 * Three-way merge of an operator's input with a version that another operator
 * changed. A change by only one side is taken; where both sides changed the same
 * field, the input is kept and its path is reported as a conflict.
 */

const isObject = value => typeof value === 'object' && value !== null && !Array.isArray(value);

const isEqual = (a, b) => JSON.stringify(a) === JSON.stringify(b);

/** List items are matched by name or id, so that an insertion does not shift the items after it. */
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
 * @param {unknown} base The version that both sides started from.
 * @param {unknown} theirs The currently accepted document.
 * @param {unknown} mine The operator's input.
 * @returns {{value: unknown, conflicts: string[]}} The merged document, and the paths of fields that both sides changed differently.
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
		const innerPath = isList ? `${path}[${key}]` : `${path}${path === '' ? '' : '.'}${key}`;
		const result = mergeDocuments(base.get(key), theirs.get(key), mine.get(key), innerPath);
		conflicts.push(...result.conflicts);
		if (result.value !== undefined) {
			merged.set(key, result.value);
		}
	}

	return {value: isList ? [...merged.values()] : Object.fromEntries(merged), conflicts};
}
