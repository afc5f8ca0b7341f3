/**
 * Rows that count as outdated beside what is known of an endpoint. Some are late writes; but a process whose
 * rows go on rising is alive, and what is known came from another writer.
 */
import {isNewer, type LiveEndpoint} from './live-endpoint.js';

/** Options of {@link createOvertakenRows}. */
export type OvertakenRowsOptions = {
	/** Time in milliseconds for which rows must have been rising; longer than a burst of late writes. */
	minMs: number;
};

/** Record of such rows. */
export type OvertakenRows = {
	/** Whether this row proves that its process is alive, so that `known` is wrong. A process that was seen leaving doesn't come back. */
	refutes: (update: LiveEndpoint, known: LiveEndpoint) => boolean;
	/** The endpoint's rows are no longer outdated, or it has left. */
	forget: (id: string) => void;
};

/** Rising rows that prove a process to be alive. */
const minRows = 3;

type Rising = {latest: LiveEndpoint; count: number; since: number};

/** Creates an empty record. */
export function createOvertakenRows({minMs}: OvertakenRowsOptions): OvertakenRows {
	const risingById = new Map<string, Rising>();

	return {
		refutes(update, known) {
			const now = performance.now();
			const rising = risingById.get(update.id);
			if (rising?.latest.startedAt !== update.startedAt || !isNewer(update, rising.latest)) {
				risingById.set(update.id, {latest: update, count: 1, since: now});
				return false;
			}

			if (update.reportNumber > rising.latest.reportNumber) {
				rising.latest = update;
				rising.count++;
			}

			const hasLeft = known.startedAt === update.startedAt && known.isLeaving;
			return !hasLeft && rising.count >= minRows && now - rising.since >= minMs;
		},
		forget(id) {
			risingById.delete(id);
		},
	};
}
