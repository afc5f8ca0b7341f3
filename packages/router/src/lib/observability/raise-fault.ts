/** Throws an error as an uncaught exception once the current callback has ended, so that it is logged without disturbing the callers. */
export function raiseFault(error: unknown): void {
	queueMicrotask(() => {
		throw error;
	});
}
