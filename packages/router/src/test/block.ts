/** Keeps the event loop busy for this many milliseconds. */
export function block(ms: number): void {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Nothing else runs.
	}
}
