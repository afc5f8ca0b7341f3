/**
 * Pauses that overloaded endpoints ask this daemon for. An endpoint gets no requests during its
 * pause, and few right after it, so that daemons and callers don't overload it again together.
 */
import {LRUCache} from 'lru-cache';
import {type EndpointProcess} from '../fleet/leaving-record.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {type Log} from '../observability/log.js';
import {returnRoom} from '../routing/return-room.js';

/** Options of {@link createEndpointBackoff}. */
export type EndpointBackoffOptions = {
	/** Returns a number in [0, 1). */
	random: () => number;
	log: Log;
};

/** Pauses of all endpoints; durations in milliseconds. */
export type EndpointBackoff = {
	/** The endpoint wants no requests from this daemon for `durationMs`; never shortens an earlier pause. */
	requested: (endpoint: LiveEndpoint, durationMs: number) => void;
	/** Time until the pause ends; 0 without one. */
	leftMs: (process: EndpointProcess) => number;
	/** Maximum number of requests in flight at the endpoint for which it may get another one. */
	roomOf: (process: EndpointProcess) => number;
};

type Pause = {startedAt: number; until: number};

/** Exceeds the endpoints of a large fleet, all of which may be overloaded at once. */
const maxPauses = 16_384;

/** Random extension of a pause, as a fraction of it. */
const extensionRatio = 0.1;

/** Time after a pause in which the number of requests in flight is limited. */
const returnMs = 1000;

/** Creates a record without pauses. */
export function createEndpointBackoff({random, log}: EndpointBackoffOptions): EndpointBackoff {
	// Entries outlive the endpoint's row, which may be missing for a moment while the process runs.
	const pauses = new LRUCache<string, Pause>({max: maxPauses});

	const pauseOf = ({id, startedAt}: EndpointProcess): Pause | undefined => {
		const pause = pauses.peek(id);
		return pause?.startedAt === startedAt ? pause : undefined;
	};

	const leftMs = (process: EndpointProcess): number => Math.max(0, (pauseOf(process)?.until ?? 0) - performance.now());

	return {
		requested(endpoint, durationMs) {
			const {id, service, startedAt} = endpoint;
			const until = performance.now() + (durationMs * (1 + (extensionRatio * random())));
			const known = pauseOf(endpoint);
			if (leftMs(endpoint) === 0) {
				log.info('Endpoint asked for a pause.', {endpoint: id, service, backoffMs: Math.round(durationMs)});
			}

			pauses.set(id, {startedAt, until: Math.max(until, known?.until ?? until)});
		},
		leftMs,
		roomOf(process) {
			const pause = pauseOf(process);
			if (pause === undefined) {
				return Number.POSITIVE_INFINITY;
			}

			const sinceMs = performance.now() - pause.until;
			return sinceMs < 0 ? 0 : returnRoom(sinceMs, returnMs);
		},
	};
}
