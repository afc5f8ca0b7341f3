/** Bounds the bytes that calls hold in memory together. */

/** A bound that calls share. */
export type ByteBudget = {
	/** Takes bytes; the returned function gives them back. `undefined` when too few are left. */
	take: (bytes: number) => (() => void) | undefined;
};

/** Creates a budget of so many bytes. */
export function createByteBudget(mostBytes: number): ByteBudget {
	let left = mostBytes;
	return {
		take(bytes) {
			if (bytes > left) {
				return undefined;
			}

			left -= bytes;
			let held = bytes;
			return () => {
				left += held;
				held = 0;
			};
		},
	};
}
