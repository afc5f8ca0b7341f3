/**
 * What differs between two documents, by path, in a form that an operator can
 * read. List items that have a name or an id are matched by it, so that one
 * new workspace does not show as a change of all that follow.
 */

/** One place where two documents differ. */
export type DocumentChange = {
	/** Such as `workspaces[school-1].tokensPerSecond`. */
	path: string;
	/** Absent when the place is new. */
	before?: unknown;
	/** Absent when the place is gone. */
	after?: unknown;
};

type Fields = Record<string, unknown>;

/** Lists the places where `after` differs from `before`. */
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
		compareWhole(before, after, path, changes);
		return;
	}

	const keys = new Set([...Object.keys(fieldsBefore), ...Object.keys(fieldsAfter)]);
	for (const key of keys) {
		compare(fieldsBefore[key], fieldsAfter[key], joinPath(path, key, Array.isArray(after)), changes);
	}
}

function compareWhole(before: unknown, after: unknown, path: string, changes: DocumentChange[]): void {
	if (JSON.stringify(before) === JSON.stringify(after)) {
		return;
	}

	changes.push({
		path: path === '' ? '(document)' : path,
		...(before === undefined ? {} : {before}),
		...(after === undefined ? {} : {after}),
	});
}

/** The fields of an object, or the items of a list of named things by name. */
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
