/**
 * Rows of a restored store that may describe endpoints which have left since the copy was made.
 * Such a row is held back until the endpoint has written a later one, or until the store would
 * have removed the row of an endpoint that no longer runs.
 */
import {LRUCache} from 'lru-cache';
import {isNewer, type LiveEndpoint} from './live-endpoint.js';

/** Options of {@link createCopiedRows}. */
export type CopiedRowsOptions = {
	/** Time in milliseconds after which the store has removed the row of an endpoint that no longer runs. */
	expiryMs: number;
	/** Called for an endpoint whose row was held back and is still listed. */
	onConfirmed: (endpoint: LiveEndpoint) => void;
};

/** Rows that are held back. */
export type CopiedRows = {
	/** The store came back from an older copy `sinceMs` ago. */
	restored: (sinceMs: number) => void;
	/** An endpoint is no longer listed; this was its latest row. */
	left: (endpoint: LiveEndpoint) => void;
	/** Whether the row is held back; otherwise it replaces one that was. */
	holds: (endpoint: LiveEndpoint) => boolean;
	/** The row was deleted. */
	cancel: (id: string) => void;
	/** Rows of all other endpoints were deleted. */
	cancelAllBut: (listed: ReadonlySet<string>) => void;
	close: () => void;
};

/** Endpoints that have left and are remembered; a restored copy is seconds old. */
const maxLeft = 4096;

/** Creates a record without rows. */
export function createCopiedRows({expiryMs, onConfirmed}: CopiedRowsOptions): CopiedRows {
	const latest = new LRUCache<string, {endpoint: LiveEndpoint; leftAt: number}>({max: maxLeft});
	const held = new Map<string, {endpoint: LiveEndpoint; timer: NodeJS.Timeout}>();
	let restoredAt = Number.NEGATIVE_INFINITY;

	const cancel = (id: string): void => {
		clearTimeout(held.get(id)?.timer);
		held.delete(id);
	};

	const mayBeCopied = (endpoint: LiveEndpoint): boolean => {
		const known = latest.peek(endpoint.id);
		return known !== undefined && known.leftAt <= restoredAt && isNewer(known.endpoint, endpoint);
	};

	const cancelAllBut = (listed: ReadonlySet<string>): void => {
		for (const id of held.keys()) {
			if (!listed.has(id)) {
				cancel(id);
			}
		}
	};

	return {
		restored(sinceMs) {
			restoredAt = Math.max(restoredAt, performance.now() - sinceMs);
		},
		left(endpoint) {
			latest.set(endpoint.id, {endpoint, leftAt: performance.now()});
		},
		holds(endpoint) {
			const {id} = endpoint;
			if (!mayBeCopied(endpoint)) {
				cancel(id);
				return false;
			}

			const timer = held.get(id)?.timer ?? setTimeout(() => {
				const confirmed = held.get(id)!.endpoint;
				held.delete(id);
				latest.delete(id);
				onConfirmed(confirmed);
			}, expiryMs);
			held.set(id, {endpoint, timer});
			return true;
		},
		cancel,
		cancelAllBut,
		close() {
			cancelAllBut(new Set());
		},
	};
}
