/**
 * Applies the endpoint list to the view. Entries that expire around a store outage
 * only show missed heartbeats, so their endpoints stay for a grace period.
 */
import {type Change, type ChangeHandler} from './change-source.js';
import {type FleetView} from './fleet-view.js';
import {type LiveEndpoint} from './live-endpoint.js';

/** Options of {@link createEndpointTracker}; durations in milliseconds. */
export type EndpointTrackerOptions = {
	view: FleetView;
	/** Grace period for entries that expired around a store outage. */
	graceMs: number;
	/** Time after an outage during which expired entries get the grace period. */
	graceWindowMs: number;
};

/** Handler of endpoint list changes. */
export type EndpointTracker = ChangeHandler<LiveEndpoint> & {close: () => void};

/** Outages shorter than this let no entry expire. */
const minOutageMs = 1000;

/** Creates a tracker that writes into a view. */
export function createEndpointTracker({view, graceMs, graceWindowMs}: EndpointTrackerOptions): EndpointTracker {
	const missing = new Map<string, NodeJS.Timeout>();
	let graceUntil = Number.NEGATIVE_INFINITY;

	const cancelDrop = (id: string): void => {
		clearTimeout(missing.get(id));
		missing.delete(id);
	};

	const drop = (id: string): void => {
		if (performance.now() >= graceUntil) {
			cancelDrop(id);
			view.dropEndpoint(id);
			return;
		}

		if (!missing.has(id)) {
			missing.set(id, setTimeout(() => {
				missing.delete(id);
				view.dropEndpoint(id);
			}, graceMs));
		}
	};

	const update = (rows: ReadonlyArray<Change<LiveEndpoint>>): void => {
		for (const {key, item} of rows) {
			if (item === undefined) {
				drop(key);
			} else {
				cancelDrop(key);
				view.acceptEndpoint(item);
			}
		}
	};

	return {
		update,
		replace(rows) {
			update(rows);
			const listed = new Set(rows.map(row => row.key));
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
		close() {
			for (const timer of missing.values()) {
				clearTimeout(timer);
			}
		},
	};
}
