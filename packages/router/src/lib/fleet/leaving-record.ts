/**
 * Endpoint processes that are known to be leaving. A process never takes this back, so neither
 * an outdated row nor a removal and renewed listing of its row clears the record; only a later
 * process under the same id is unaffected.
 */
import {LRUCache} from 'lru-cache';
import {type LiveEndpoint} from './live-endpoint.js';

/** Identifies a process of an endpoint. */
export type EndpointProcess = Pick<LiveEndpoint, 'id' | 'startedAt'>;

/** The record. */
export type LeavingRecord = {
	/** Records that a process is leaving; returns false if that was known, or if a later process is. */
	add: (process: EndpointProcess) => boolean;
	has: (process: EndpointProcess) => boolean;
};

/** Exceeds the endpoints of a large fleet, all of which may be replaced by a release. */
const maxProcesses = 16_384;

/** Creates an empty record. */
export function createLeavingRecord(): LeavingRecord {
	const startOf = new LRUCache<string, number>({max: maxProcesses});

	return {
		add({id, startedAt}) {
			if (startedAt <= (startOf.peek(id) ?? Number.NEGATIVE_INFINITY)) {
				return false;
			}

			startOf.set(id, startedAt);
			return true;
		},
		has: ({id, startedAt}) => startOf.peek(id) === startedAt,
	};
}
