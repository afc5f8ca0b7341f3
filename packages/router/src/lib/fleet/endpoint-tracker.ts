/**
 * Applies the endpoint list to the view. Entries that expire around a store outage
 * only show missed heartbeats, so their endpoints stay for a grace period.
 */
import {LRUCache} from 'lru-cache';
import {type Change, type ChangeHandler} from './change-source.js';
import {createCopiedRows} from './copied-rows.js';
import {type FleetView} from './fleet-view.js';
import {isNewer, type LiveEndpoint} from './live-endpoint.js';
import {createOvertakenRows} from './overtaken-rows.js';

/** Options of {@link createEndpointTracker}; durations in milliseconds. */
export type EndpointTrackerOptions = {
	view: FleetView;
	/** Grace period for entries that expired around a store outage. */
	graceMs: number;
	/** Time after an outage during which expired entries get the grace period. */
	graceWindowMs: number;
	/** Time after which the store has removed the row of an endpoint that no longer runs. */
	expiryMs: number;
	/** An endpoint may have come and gone since the changes before, and nobody here knows what it was. */
	onMissed?: () => void;
};

/** Handler of endpoint list changes. */
export type EndpointTracker = ChangeHandler<LiveEndpoint> & {close: () => void};

/** Outages shorter than this let no entry expire. */
const minOutageMs = 1000;

/** Endpoints that have left and are remembered, since their removals may be read more than once. */
const maxLeft = 16_384;

/** Creates a tracker that writes into a view. */
export function createEndpointTracker({
	view, graceMs, graceWindowMs, expiryMs, onMissed = () => undefined,
}: EndpointTrackerOptions): EndpointTracker {
	const missing = new Map<string, NodeJS.Timeout>();
	const left = new LRUCache<string, true>({max: maxLeft});
	let graceUntil = Number.NEGATIVE_INFINITY;
	let isListed = false;
	/** Until then, endpoints that a copy lacks may write their rows again. */
	let rewriteUntil = Number.NEGATIVE_INFINITY;

	const overtakenRows = createOvertakenRows({minMs: expiryMs / 2});
	const copiedRows = createCopiedRows({expiryMs, onConfirmed: view.acceptEndpoint});

	const accept = (endpoint: LiveEndpoint): void => {
		const known = view.endpoint(endpoint.id);
		if (known === undefined || isNewer(endpoint, known)) {
			overtakenRows.forget(endpoint.id);
			view.acceptEndpoint(endpoint);
		} else if (overtakenRows.refutes(endpoint, known)) {
			overtakenRows.forget(endpoint.id);
			view.correctEndpoint(endpoint);
		}
	};

	const dropNow = (id: string): void => {
		const endpoint = view.endpoint(id);
		overtakenRows.forget(id);
		if (endpoint !== undefined) {
			copiedRows.left(endpoint);
			view.dropEndpoint(id);
			left.set(id, true);
		}
	};

	/** Remembers the removal of an endpoint that was never listed here; returns whether it was news. */
	const isUnseen = (id: string): boolean => {
		if (view.endpoint(id) !== undefined || left.has(id)) {
			return false;
		}

		left.set(id, true);
		return true;
	};

	const cancelDrop = (id: string): void => {
		clearTimeout(missing.get(id));
		missing.delete(id);
	};

	const drop = (id: string): void => {
		const now = performance.now();
		const delayMs = now < graceUntil ? graceMs : rewriteUntil - now;
		if (delayMs <= 0) {
			cancelDrop(id);
			dropNow(id);
			return;
		}

		if (!missing.has(id)) {
			missing.set(id, setTimeout(() => {
				missing.delete(id);
				dropNow(id);
			}, delayMs));
		}
	};

	const update = (rows: ReadonlyArray<Change<LiveEndpoint>>): void => {
		let hasMissed = false;
		for (const {key, item, text} of rows) {
			if (item === undefined) {
				// A row that can't be decoded names no endpoint that requests were sent to.
				const isRemoval = text === undefined;
				hasMissed = (isUnseen(key) && isRemoval) || hasMissed;
				copiedRows.cancel(key);
				drop(key);
			} else if (!copiedRows.holds(item)) {
				cancelDrop(key);
				accept(item);
			}
		}

		if (hasMissed) {
			onMissed();
		}
	};

	return {
		update,
		replace(rows, unseenMs) {
			// Without history, removals aren't seen. A store that came back from a copy lacks rows only for a short time.
			if (isListed && unseenMs >= minOutageMs && performance.now() >= rewriteUntil) {
				onMissed();
			}

			isListed = true;
			update(rows);
			const listed = new Set(rows.map(row => row.key));
			copiedRows.cancelAllBut(listed);
			for (const id of view.endpointIds()) {
				if (!listed.has(id)) {
					drop(id);
				}
			}
		},
		recovered(outageMs, sinceMs) {
			if (outageMs >= minOutageMs) {
				graceUntil = Math.max(graceUntil, performance.now() - sinceMs + graceWindowMs);
			}
		},
		restored(sinceMs) {
			// Counted from the restore, since a late listing must not delay the end of a row beyond the bound.
			rewriteUntil = Math.max(rewriteUntil, performance.now() - sinceMs + graceMs);
			copiedRows.restored(sinceMs);
		},
		close() {
			copiedRows.close();
			for (const timer of missing.values()) {
				clearTimeout(timer);
			}
		},
	};
}
