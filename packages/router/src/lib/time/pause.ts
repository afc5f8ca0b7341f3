/** Waiting on the runtime's clock, which tests pause. */

/** Resolves after so many milliseconds. */
export async function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
