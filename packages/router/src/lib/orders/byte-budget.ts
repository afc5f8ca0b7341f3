/** Limits the total bytes that concurrent calls hold in memory. */

/** A memory limit shared by calls. */
export type ByteBudget = {
	/** Reserves bytes and returns a function that releases them, or `undefined` if too few are left. */
	take: (bytes: number) => (() => void) | undefined;
};

/** Creates a budget of `maxBytes` bytes. */
export function createByteBudget(maxBytes: number): ByteBudget {
	let left = maxBytes;
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
