/** Recent items of news, each stamped with the number of the first report that carries it. */

/** The log of one kind of news. */
export type NewsLog<T> = {
	/** Appends items that report `number` is the first to carry. */
	add: (items: readonly T[], number: number) => void;
	/** Items that a peer lacks whose last report had this number, oldest first. */
	since: (number: number) => T[];
};

/** Creates an empty log, which drops its oldest items beyond `maxItems`. */
export function createNewsLog<T>(maxItems: number): NewsLog<T> {
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
