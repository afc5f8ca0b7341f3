/** Delays on the runtime's timers, which tests replace with fake ones. */

/** Resolves after `ms` milliseconds. */
export async function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
