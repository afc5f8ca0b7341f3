/**
 * Lists the differences between two documents by path, for operators. List
 * items that have a name or an id are matched by it, so that inserting one
 * workspace does not show as a change of all that follow.
 */

/** One difference between two documents. */
export type DocumentChange = {
	/** Path of the field, such as `workspaces[school-1].tokensPerSecond`. */
	path: string;
	/** Absent when the field was added. */
	before?: unknown;
	/** Absent when the field was removed. */
	after?: unknown;
};

type Fields = Record<string, unknown>;

/** Lists the differences of `after` from `before`. */
export function differenceOf(before: unknown, after: unknown): DocumentChange[] {
	const changes: DocumentChange[] = [];
	compare(before, after, '', changes);
	return changes;
}

function compare(before: unknown, after: unknown, path: string, changes: DocumentChange[]): void {
	if (Object.is(before, after)) {
		return;
	}

	const fieldsBefore = fieldsOf(before);
	const fieldsAfter = fieldsOf(after);
	if (fieldsBefore === undefined || fieldsAfter === undefined) {
		compareValues(before, after, path, changes);
		return;
	}

	const keys = new Set([...Object.keys(fieldsBefore), ...Object.keys(fieldsAfter)]);
	for (const key of keys) {
		compare(fieldsBefore[key], fieldsAfter[key], joinPath(path, key, Array.isArray(after)), changes);
	}
}

function compareValues(before: unknown, after: unknown, path: string, changes: DocumentChange[]): void {
	if (JSON.stringify(before) === JSON.stringify(after)) {
		return;
	}

	changes.push({
		path: path === '' ? '(document)' : path,
		...(before === undefined ? {} : {before}),
		...(after === undefined ? {} : {after}),
	});
}

/** Returns the fields of an object, or the items of a list by their name or id; `undefined` for any other value. */
function fieldsOf(value: unknown): Fields | undefined {
	if (typeof value !== 'object' || value === null) {
		return undefined;
	}

	if (!Array.isArray(value)) {
		return {...value};
	}

	const fields: Fields = {};
	for (const item of value) {
		const label = labelOf(item);
		if (label === undefined) {
			return undefined;
		}

		fields[label] = item;
	}

	return fields;
}

function labelOf(item: unknown): string | undefined {
	if (typeof item !== 'object' || item === null) {
		return undefined;
	}

	if ('name' in item && typeof item.name === 'string') {
		return item.name;
	}

	return 'id' in item && typeof item.id === 'string' ? item.id : undefined;
}

function joinPath(path: string, key: string, isList: boolean): string {
	if (isList) {
		return `${path}[${key}]`;
	}

	return path === '' ? key : `${path}.${key}`;
}
