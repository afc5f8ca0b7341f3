/**
 * Watches how much of the runtime's heap is held. Only what is in use after a major collection is held; the rest of
 * the time much of it may be garbage. Near its limit, the runtime collects ever more often before it ends the process.
 */

/** The watch of one process. */
export type HeapWatch = {
	/** To be called after each major collection. */
	collected: () => void;
	/** Bytes in use after the latest major collection. */
	heldBytes: () => number;
	/** Whether the latest major collection left the heap nearly full. */
	isNearLimit: () => boolean;
};

/** Options of {@link createHeapWatch}. */
export type HeapWatchOptions = {
	/** Size at which the runtime ends the process. */
	limitBytes: number;
	usedBytes: () => number;
	/** Called when a collection leaves the heap nearly full, and when one leaves room again. */
	onChange: (isNearLimit: boolean, heldBytes: number) => void;
	/** Called after each collection that leaves so little that requests under way must end. */
	onCritical: () => void;
};

/** Fractions of the limit. */
const nearRatio = 0.75;
const roomRatio = 0.65;
const criticalRatio = 0.8;

/** Time in milliseconds after which a heap counts as having room until the next collection; a process at rest doesn't collect. */
const staleMs = 2000;

/** Creates a watch that has seen no collection. */
export function createHeapWatch({
	limitBytes, usedBytes, onChange, onCritical,
}: HeapWatchOptions): HeapWatch {
	let held = 0;
	let isNear = false;
	let collectedAt = Number.NEGATIVE_INFINITY;

	return {
		collected() {
			held = usedBytes();
			collectedAt = performance.now();
			if ((held >= limitBytes * (isNear ? roomRatio : nearRatio)) !== isNear) {
				isNear = !isNear;
				onChange(isNear, held);
			}

			if (held >= limitBytes * criticalRatio) {
				onCritical();
			}
		},
		heldBytes: () => held,
		isNearLimit: () => isNear && performance.now() - collectedAt < staleMs,
	};
}
