/** Log of recent incremental updates, each stamped with the number of the first report that carries it. */

/** The log of one kind of update. */
export type UpdateLog<T> = {
	/** Appends items that are first carried by report `number`. */
	add: (items: readonly T[], number: number) => void;
	/** Items added after report `number`, which a peer lacks if that was its last report; oldest first. */
	since: (number: number) => T[];
};

/** Creates an empty log, which drops its oldest items beyond `maxItems`. */
export function createUpdateLog<T>(maxItems: number): UpdateLog<T> {
	let entries: Array<{item: T; number: number}> = [];

	return {
		add(items, number) {
			if (items.length > 0) {
				entries = [...entries, ...items.map(item => ({item, number}))].slice(-maxItems);
			}
		},
		since(number) {
			const first = entries.findIndex(entry => entry.number > number);
			return first === -1 ? [] : entries.slice(first).map(({item}) => item);
		},
	};
}
