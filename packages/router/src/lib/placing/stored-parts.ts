/**
 * Tracks the shared prompt parts in the cache store that requests of this daemon and its peers
 * saved. All engines share the store's link, so known parts are not saved again.
 */
import {copyOfText} from '../buffers/copied-text.js';
import {maxReportedParts} from '../peers/peer-report.js';
import {isPartKeyTooLong} from './choice-request.js';

/** Recently saved parts; keys are cache keys, see `partKey`. */
export type StoredParts = {
	/** Whether the part was saved recently. */
	isKnown: (key: string) => boolean;
	/** Records that a request which saves these parts was sent. */
	saved: (keys: readonly string[]) => void;
	/** Adds the parts that a peer reports as saved. */
	applyPeerReport: (keys: readonly string[]) => void;
	/** Returns and clears the latest `maxReportedParts` keys saved since the last call. Peers may save older ones again. */
	takeUnreported: () => string[];
};

/** Parts are saved again after this time, because the store doesn't report evictions. */
const savedTtlMs = 20_000;

const maxKeys = 4096;

/** Creates an empty record. */
export function createStoredParts(): StoredParts {
	const savedAt = new Map<string, {heldKey: string; at: number}>();
	let unreported: string[] = [];

	const record = (key: string): void => {
		const heldKey = savedAt.get(key)?.heldKey ?? copyOfText(key);
		savedAt.delete(key);
		savedAt.set(heldKey, {heldKey, at: performance.now()});
		if (savedAt.size > maxKeys) {
			const [oldest] = savedAt.keys();
			savedAt.delete(oldest);
		}
	};

	const isKnown = (key: string): boolean =>
		performance.now() - (savedAt.get(key)?.at ?? Number.NEGATIVE_INFINITY) < savedTtlMs;

	return {
		isKnown,
		saved(keys) {
			for (const key of keys) {
				if (!isKnown(key)) {
					unreported.push(key);
				}

				record(key);
			}

			unreported = unreported.slice(-maxReportedParts);
		},
		applyPeerReport(keys) {
			for (const key of keys) {
				if (!isPartKeyTooLong(key)) {
					record(key);
				}
			}
		},
		takeUnreported() {
			const taken = unreported;
			unreported = [];
			return taken;
		},
	};
}
